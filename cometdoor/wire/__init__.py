"""Messages between the processes of the mesh, their framing, and the connections that carry them."""
