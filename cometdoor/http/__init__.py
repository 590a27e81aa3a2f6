"""HTTP/1.1: connections of clients, connections to backends, messages, and JSON APIs."""
