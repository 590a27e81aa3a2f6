"""How many voters the replica group needs for the losses that it must survive."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Sizing:
    """Required fault tolerance of the replica group, and the numbers of voters that follow from it."""

    fault_tolerance: int = 0  # voters that may be lost at once
    known_machines: int = 1  # lower bound of the number of control planes

    @property
    def target_voters(self) -> int:
        """Number of voters that the leader maintains."""
        return max(3, 2 * self.fault_tolerance + 1)

    @property
    def initial_voters(self) -> int:
        """Number of voters that are required before the first change is accepted."""
        return max(2 * self.fault_tolerance + 1, min(3, self.known_machines))

    @property
    def min_voters(self) -> int:
        """Smallest group whose majority is still `fault_tolerance` + 1: no entry is on fewer disks."""
        return max(2 * self.fault_tolerance, 2)
