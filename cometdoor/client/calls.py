"""Former name of `cometdoor.client.async_client`; deprecated."""

from cometdoor.client.deprecated_names import module_getattr

__getattr__ = module_getattr("calls")
