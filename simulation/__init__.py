"""Models of the mesh in virtual time: the modules that run in service, over networks and disks that fail."""
