"""The control plane: an ordered log on a majority of the core's disks, and what is kept by it."""
