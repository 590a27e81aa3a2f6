"""Former name of `cometdoor.client.retry_policy`; deprecated."""

from cometdoor.client.deprecated_names import module_getattr

__getattr__ = module_getattr("tries")
