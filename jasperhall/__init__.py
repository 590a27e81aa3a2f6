"""Load-balancing decisions for services that call services: backup requests under a ratio cap."""

from jasperhall import api
from jasperhall.balancer import Balancer

__all__ = ["Balancer", "api"]
