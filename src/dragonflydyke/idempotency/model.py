"""Claims of non-idempotent calls and their stored form."""

import base64
import dataclasses
import hashlib
from typing import Any

MAX_STORED_BODY_BYTES = 65_536
REPLAY_HEADER = "Dragonflydyke-Replay"
BODY_NOT_STORED = "body-not-stored"
_REPLAY_STATUS_WITHOUT_BODY = 200


@dataclasses.dataclass(slots=True, frozen=True)
class StoredResponse:
    """The response of a call that was made before.

    Attributes:
        status: HTTP status.
        content_type: Type of the body.
        body: The body, empty if it was not stored.
        is_body_stored: False for a body over MAX_STORED_BODY_BYTES; the
            replay then carries REPLAY_HEADER with BODY_NOT_STORED.
    """

    status: int
    content_type: str
    body: bytes
    is_body_stored: bool


@dataclasses.dataclass(slots=True)
class Claim:
    """The right to make one call once, or the response of that call.

    Attributes:
        name: Name of the object in the platform.
        nonce: Tells this claim from those of others.
        request_digest: Digest of the request.
        claimed_at_ms: Unix time in milliseconds.
        replay: Response to return instead of making the call, or None.
        version: Version of the stored object.
        has_lost_create: Whether a create without an answer may still take
            effect after the claim is removed.
        is_dispatched: Whether the call may have been sent.
        is_settled: Whether `finish` or `abandon` was called.
    """

    name: str
    nonce: str
    request_digest: str
    claimed_at_ms: int
    replay: StoredResponse | None = None
    version: int = 0
    has_unconfirmed_create: bool = False
    is_dispatched: bool = False
    is_finalized: bool = False


def derive_object_name(
    account: str, service: str, operation: str, key: str
) -> str:
    """Returns the object name for an idempotency key."""
    digest = hashlib.sha256()
    for part in (account, service, operation, key):
        encoded = part.encode()
        # The length keeps parts apart: ("a", "bc") is not ("ab", "c").
        digest.update(b"%d:" % len(encoded))
        digest.update(encoded)
    return digest.hexdigest()


def format_claim(claim: Claim, holder: str) -> dict[str, Any]:
    """Returns the stored value of a claim."""
    return {
        "state": "claimed",
        "holder": holder,
        "nonce": claim.nonce,
        "request_digest": claim.request_digest,
        "claimed_at_ms": claim.claimed_at_ms,
    }


def format_finished_call(
    claim: Claim, holder: str, status: int, content_type: str, body: bytes
) -> dict[str, Any]:
    """Returns the stored value of a call whose response is known."""
    is_stored = len(body) <= MAX_STORED_BODY_BYTES
    value = format_claim(claim, holder)
    value["state"] = "done"
    value["status"] = status
    value["content_type"] = content_type
    value["body"] = base64.b64encode(body).decode() if is_stored else ""
    value["body_stored"] = is_stored
    return value


def parse_response(value: dict[str, Any]) -> StoredResponse:
    """Parses the stored value of a call that is done."""
    is_stored = value["body_stored"]
    status = value["status"] if is_stored else _REPLAY_STATUS_WITHOUT_BODY
    return StoredResponse(
        status=status,
        content_type=value["content_type"],
        body=base64.b64decode(value["body"]),
        is_body_stored=is_stored,
    )
