"""The replicated control plane: a Raft group that orders configuration changes and claims on keys."""
