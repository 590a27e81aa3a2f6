"""Forwarders that carry the traffic, and planners that advise them. Advice is soft; safety is arithmetic."""
