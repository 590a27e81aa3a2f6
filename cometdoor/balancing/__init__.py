"""Load-balancing decisions, without clock or I/O: events and the time in, actions out."""

from cometdoor.balancing import api
from cometdoor.balancing.balancer import Balancer

__all__ = ["Balancer", "api"]
