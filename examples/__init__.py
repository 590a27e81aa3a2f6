"""Example programs that use the client library. The scenario tests run each on a mesh in memory."""
