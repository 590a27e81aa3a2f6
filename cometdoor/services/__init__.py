"""The proxy for services, older than the mesh: `cometdoor serve FILE` serves several in one process."""
