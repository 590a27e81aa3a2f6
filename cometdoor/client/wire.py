"""Former name of `cometdoor.client.connection`; deprecated."""

from cometdoor.client.deprecated_names import module_getattr

__getattr__ = module_getattr("wire")
