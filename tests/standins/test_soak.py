"""The soak test (standins/soak.py) with one seed, over real processes and sockets."""

from __future__ import annotations

from standins.soak import soak


def test_a_mesh_of_real_processes_serves_again_after_troubles_that_overlap() -> None:
    assert soak(seed=1) == []
