"""Protocol-independent host of one balancer: requests, attempts, settings, and tables of exchanges."""
