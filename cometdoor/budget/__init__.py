"""One budget of further tries for all proxies of the mesh, of which each holds a part."""
