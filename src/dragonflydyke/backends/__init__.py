"""HTTP client for backend servers: engines and plain services."""

from dragonflydyke.backends.client import BackendAnswer, BackendClient
from dragonflydyke.backends.events import EventSplitter
from dragonflydyke.backends.model import (
    REQUEST_ID_HEADER,
    STREAM_ID_HEADER,
    BackendRequest,
    EngineOrder,
    LoadReport,
    OrderKind,
    Usage,
)

__all__ = [
    "REQUEST_ID_HEADER",
    "STREAM_ID_HEADER",
    "BackendAnswer",
    "BackendClient",
    "BackendRequest",
    "EngineOrder",
    "EventSplitter",
    "LoadReport",
    "OrderKind",
    "Usage",
]
