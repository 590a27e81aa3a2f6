"""Servers, discovery and clients that stand in for real ones: for tests, benchmarks and the demo.

What a server does is decided in a model without I/O or clock, which keeps a ledger of all that happened to
it. The rules are checked against ledgers and clients' books, never against the proxy's own word.
"""
