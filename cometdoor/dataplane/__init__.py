"""The mesh's proxy: the door beside one backend, and the way out for callers on its machine."""
