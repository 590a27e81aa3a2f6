"""The service mesh. `cometdoor.balancing` makes the load-balancing decisions, without clock or I/O."""
