"""Scenario tests of the mesh's components, in memory and in virtual time, as given, when and then.

They run with ward: `python -m stories`.
"""
