"""The configuration that operators send: its schema, what makes it invalid, and where it leads a request."""
