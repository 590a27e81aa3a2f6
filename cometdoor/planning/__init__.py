"""Optional planning: forwarders report their load to planners, which answer with advice and capacity leases.

Forwarders are the proxies that carry the traffic. Advice only shifts weight among servers that a forwarder
may use anyway. That starting servers are not overloaded does not depend on planners agreeing: each has a
fixed part of every budget (`capacity_leasing`).
"""
