"""Client of the platform's object API, which stores all durable state."""

from dragonflydyke.objects.client import ObjectClient, ObjectStore
from dragonflydyke.objects.model import (
    ConflictError,
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
