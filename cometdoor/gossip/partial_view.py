"""The partial view of the mesh: the few neighbours that a process gossips with. No I/O.

Peers swap samples of their views, so that the graph of neighbours stays connected and random
(HyParView: Leitao, Pereira and Rodrigues, DSN 2007).
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

ACTIVE_VIEW_SIZE = 12  # maximum number of neighbours of a process
SHUFFLE_SAMPLE_SIZE = 4  # number of neighbours sent in one swap


class PartialView:
    """Addresses of the neighbours: at first the seeds; more are added up to `ACTIVE_VIEW_SIZE`.

    Parameters
    ----------
    addresses : Iterable[str]
        Internal addresses of the seeds.
    may_be_neighbour : Callable[[str], bool]
        Returns whether an address may be added: False for this process's own and for suspected nodes'.
    rng : random.Random
        Source of the samples.
    """

    def __init__(
        self, addresses: Iterable[str], may_be_neighbour: Callable[[str], bool], rng: random.Random
    ) -> None:
        self.addresses = list(addresses)
        self._may_be_neighbour = may_be_neighbour
        self._rng = rng

    def add(self, address: str) -> None:
        """Add a neighbour unless the view is full."""
        if (
            len(self.addresses) < ACTIVE_VIEW_SIZE
            and address not in self.addresses
            and self._may_be_neighbour(address)
        ):
            self.addresses.append(address)

    def remove(self, address: str) -> None:
        """Remove a neighbour, if it is one."""
        if address in self.addresses:
            self.addresses.remove(address)

    def sample(self) -> list[str]:
        """Return random neighbours for a swap."""
        return self._rng.sample(self.addresses, min(SHUFFLE_SAMPLE_SIZE, len(self.addresses)))

    def merge_sample(self, addresses: Iterable[str]) -> None:
        """Add the neighbours of a peer; in a full view they replace random ones."""
        for address in addresses:
            if address not in self.addresses and self._may_be_neighbour(address):
                if len(self.addresses) < ACTIVE_VIEW_SIZE:
                    self.addresses.append(address)
                else:
                    self.addresses[self._rng.randrange(ACTIVE_VIEW_SIZE)] = address
