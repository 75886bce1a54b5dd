"""At-most-once execution of non-idempotent calls."""

from dragonflydyke.idempotency.claims import ClaimRegistry
from dragonflydyke.idempotency.model import (
    BODY_NOT_STORED,
    REPLAY_HEADER,
    Claim,
    StoredResponse,
)

__all__ = [
    "BODY_NOT_STORED",
    "REPLAY_HEADER",
    "Claim",
    "ClaimRegistry",
    "StoredResponse",
]
