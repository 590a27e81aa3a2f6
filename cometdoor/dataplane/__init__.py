"""The data plane of the mesh: inbound proxy of the local backend, outbound proxy for local callers."""
