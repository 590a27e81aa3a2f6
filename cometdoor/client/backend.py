"""Former name of `cometdoor.client.backend_agent`; deprecated."""

from cometdoor.client.deprecated_names import module_getattr

__getattr__ = module_getattr("backend")
