"""Public HTTP API for clients."""

from dragonflydyke.gateway.application import build_application, build_server
from dragonflydyke.gateway.services import GatewayServices

__all__ = ["GatewayServices", "build_application", "build_server"]
