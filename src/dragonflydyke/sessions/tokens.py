"""Session tokens, which every router that has the key ring can verify."""

import functools
import hashlib
import secrets
from collections.abc import Mapping
from typing import Any

import itsdangerous

from dragonflydyke import errors
from dragonflydyke.sessions import model

MAX_TOKEN_LENGTH = 2_048
# The next signing key, the current one, and two previous ones whose tokens are
# still accepted.
MAX_KEYS = 4
_SECRET_BYTES = 32
_KEY_ID_BYTES = 8
# Keeps signatures of session tokens apart from other uses of the same keys.
_SALT = "dragonflydyke.session.1"


def issue(ring: model.KeyRing, session: model.Session) -> str:
    """Returns a token signed with the newest key but one.

    Routers adopt a new ring at different times. A key therefore signs only
    after the rotation that follows the one that added it: a router without the
    signing key would reject the sessions of the others.

    Args:
        ring: The key ring in force.
        session: The session that the token identifies.

    Raises:
        DragonflydykeError: `session_keys_missing` (503) if the ring is empty,
            `session_token_too_long` if the names are too long for a token.
    """
    token = _get_serializer(_select_signing_keys(ring)).dumps(
        [
            session.client_account,
            session.session_id,
            session.model,
            session.version,
            session.started_at_ms,
        ]
    )
    if len(token) > MAX_TOKEN_LENGTH:
        raise errors.DragonflydykeError(
            "session_token_too_long",
            "the session token would be too long; shorten the names of the "
            "account, the model and the version",
            step=errors.Step.VERIFY_SESSION,
        )
    return token


def verify(ring: model.KeyRing, token: str, account: str) -> model.Session:
    """Returns the session that a token identifies.

    Args:
        ring: The key ring in force; tokens signed by any of its keys are valid.
        token: Token that the client sent.
        account: Name of the client account of the request.

    Raises:
        DragonflydykeError: `session_token_invalid` (403) if the token is too
            long, forged, malformed or belongs to another client account;
            `session_keys_missing` (503) if the ring is empty.
    """
    serializer = _get_serializer(ring)
    if len(token) > MAX_TOKEN_LENGTH:
        raise _build_rejection(f"is longer than {MAX_TOKEN_LENGTH} characters")
    try:
        values = serializer.loads(token)
    except (itsdangerous.BadData, UnicodeError):
        raise _build_rejection("has no valid signature") from None
    session = _parse(values)
    if session.client_account != account:
        raise _build_rejection("belongs to another client account")
    return session


def create_key() -> model.SessionKey:
    """Returns a new random key."""
    return model.SessionKey(
        key_id=secrets.token_hex(_KEY_ID_BYTES),
        secret=secrets.token_urlsafe(_SECRET_BYTES),
    )


def rotate(ring: model.KeyRing) -> model.KeyRing:
    """Returns the ring with a new key added, and at most MAX_KEYS keys."""
    keys = (*ring.keys, create_key())
    return model.KeyRing(keys[-MAX_KEYS:])


def parse_ring(value: Mapping[str, Any]) -> model.KeyRing:
    """Returns the ring parsed from the stored value of `control/keys`.

    Raises:
        KeyError: If a field is missing.
        ValueError: If there is no key, or a secret is empty.
    """
    keys = tuple(
        model.SessionKey(key_id=entry["key_id"], secret=entry["secret"])
        for entry in value["keys"]
    )
    if not keys or not all(key.secret for key in keys):
        raise ValueError("key ring has no keys or a key without a secret")
    return model.KeyRing(keys)


def format_ring(ring: model.KeyRing) -> dict[str, Any]:
    """Returns the stored value of `control/keys`."""
    return {
        "keys": [
            {"key_id": key.key_id, "secret": key.secret} for key in ring.keys
        ]
    }


def _select_signing_keys(ring: model.KeyRing) -> model.KeyRing:
    return model.KeyRing(ring.keys[-2:-1] or ring.keys)


@functools.lru_cache(maxsize=8)
def _get_serializer(ring: model.KeyRing) -> itsdangerous.URLSafeSerializer:
    if not ring.keys:
        raise errors.DragonflydykeError(
            "session_keys_missing",
            "this router has not received the session keys yet; retry",
            step=errors.Step.VERIFY_SESSION,
            retry_after_s=1.0,
            status=503,
        )
    # The library signs with the last key and verifies with all keys.
    return itsdangerous.URLSafeSerializer(
        [key.secret for key in ring.keys],
        salt=_SALT,
        signer_kwargs={
            "digest_method": hashlib.sha256,
            "key_derivation": "hmac",
        },
    )


def _parse(values: Any) -> model.Session:
    # A token with a valid signature may come from a release whose tokens have
    # other fields.
    match values:
        case [str(), str(), str(), str(), int()]:
            return model.Session(*values)
    raise _build_rejection("has unknown contents")


def _build_rejection(reason: str) -> errors.DragonflydykeError:
    return errors.DragonflydykeError(
        "session_token_invalid",
        f"the session token {reason}; start a new session with "
        "Dragonflydyke-Session: new",
        step=errors.Step.VERIFY_SESSION,
        status=403,
        field="Dragonflydyke-Session",
    )
