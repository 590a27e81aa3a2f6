"""The platform's proxy (one service), and the discovery client that the proxy for services uses as well."""
