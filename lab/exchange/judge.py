"""What a player says when the code does not do what the table says."""


class Wrong(Exception):
    """The code does not do what the table says."""


def expect(said: object, wanted: object, what: str) -> None:
    """Raises Wrong."""
    if said != wanted:
        raise Wrong(f"{what}: {said}, not {wanted}")
