"""Membership of the mesh's processes: versioned records, push gossip, anti-entropy, failure detection."""
