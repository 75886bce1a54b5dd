"""Client of the platform's object API, which stores all durable state."""

from dragonflydyke.objects.client import ObjectClient, ObjectStore
from dragonflydyke.objects.model import (
    ConflictError,
    HistoryLostError,
    ListedVm,
    ObjectList,
    ObjectTooLargeError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    StoredObject,
    VmList,
)

__all__ = [
    "ConflictError",
    "HistoryLostError",
    "ListedVm",
    "ObjectClient",
    "ObjectList",
    "ObjectStore",
    "ObjectTooLargeError",
    "OutcomeUnknownError",
    "PlatformUnavailableError",
    "StoredObject",
    "VmList",
]
