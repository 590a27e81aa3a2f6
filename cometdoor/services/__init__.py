"""Several services in one process: routes, pools, and what each may hold."""
