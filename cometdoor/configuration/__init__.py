"""The configuration that operators send: its schema and checks, its routes, its encoding for peers."""
