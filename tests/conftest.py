"""Properties are drawn the same way each time: a verdict must not change between two runs of one text."""

from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")
