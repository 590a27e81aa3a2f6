"""The error and the check that all players use."""


class ExchangeViolation(Exception):
    """The code does not behave as the table or an invariant requires."""


def expect(actual: object, expected: object, what: str) -> None:
    """Raise ExchangeViolation unless the two values are equal."""
    if actual != expected:
        raise ExchangeViolation(f"{what}: got {actual}, expected {expected}")
