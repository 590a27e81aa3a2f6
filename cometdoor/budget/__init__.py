"""Retry budget of each service, shared by all proxies of the mesh through leased allocations."""
