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
    """The stored response of an earlier call.

    Attributes:
        status: HTTP status.
        content_type: Media type of the body.
        body: The body, empty if it was not stored.
        is_body_stored: False if the body exceeded MAX_STORED_BODY_BYTES; the
            replay then has the header REPLAY_HEADER set to BODY_NOT_STORED.
    """

    status: int
    content_type: str
    body: bytes
    is_body_stored: bool


@dataclasses.dataclass(slots=True)
class Claim:
    """The exclusive right to make a call once, or the response of that call.

    Attributes:
        name: Name of the claim's object in the platform.
        nonce: Random value that distinguishes this claim from other claims of
            the same call.
        request_digest: Digest of the request.
        claimed_at_ms: Unix time of the claim in milliseconds.
        replay: Response to return instead of making the call, or None.
        version: Version of the stored object.
        has_unconfirmed_create: Whether the response to a create was lost, so
            that it may still take effect after the claim is removed.
        is_dispatched: Whether the call may have been sent.
        is_finalized: Whether `finish` or `abandon` was called, or the claim
            has a replay.
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
    """Returns the name of the object that stores the claim of a key."""
    digest = hashlib.sha256()
    for part in (account, service, operation, key):
        encoded = part.encode()
        # The length prefix makes the encoding unambiguous: ("a", "bc") and
        # ("ab", "c") have different names.
        digest.update(b"%d:" % len(encoded))
        digest.update(encoded)
    return digest.hexdigest()


def format_claim(claim: Claim, holder: str) -> dict[str, Any]:
    """Returns the value to store for a claim."""
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
    """Returns the value to store for a call that has its response."""
    is_stored = len(body) <= MAX_STORED_BODY_BYTES
    value = format_claim(claim, holder)
    value["state"] = "done"
    value["status"] = status
    value["content_type"] = content_type
    value["body"] = base64.b64encode(body).decode() if is_stored else ""
    value["body_stored"] = is_stored
    return value


def parse_response(value: dict[str, Any]) -> StoredResponse:
    """Parses the stored value of a call that has its response."""
    is_stored = value["body_stored"]
    status = value["status"] if is_stored else _REPLAY_STATUS_WITHOUT_BODY
    return StoredResponse(
        status=status,
        content_type=value["content_type"],
        body=base64.b64decode(value["body"]),
        is_body_stored=is_stored,
    )
