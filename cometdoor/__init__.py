"""The real proxy round the decision module of jasperhall: sockets, time and bookkeeping, no decisions."""
