"""What the mesh's own processes say to one another: messages, and the kept lines that carry them."""
