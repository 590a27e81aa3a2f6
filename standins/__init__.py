"""Stand-ins for servers, discovery and clients: for tests, benchmarks and the demo.

A server's behaviour is a model without I/O or clock, which logs every request. The rules are checked against
the request logs of servers and the logs of clients, never against what the proxy reports.
"""
