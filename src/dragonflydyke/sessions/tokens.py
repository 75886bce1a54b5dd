"""Session tokens, which any router with the key ring can verify."""

import functools
import hashlib
import secrets
from collections.abc import Mapping
from typing import Any

import itsdangerous

from dragonflydyke import errors
from dragonflydyke.sessions import model

MAX_TOKEN_LENGTH = 2_048
# The next key, the one that signs, and two whose tokens are still accepted.
MAX_KEYS = 4
_SECRET_BYTES = 32
_KEY_ID_BYTES = 8
# Separates these signatures from other uses of the same keys.
_SALT = "dragonflydyke.session.1"


def issue(ring: model.KeyRing, session: model.Session) -> str:
    """Returns a token signed with the newest key but one.

    A key signs only after the rotation that follows the one that added it.
    Routers adopt a ring at different times, and one that lacks the signing key
    would refuse the sessions of the others.

    Raises:
        DragonflydykeError: `session_keys_missing` (503) if the ring is empty,
            `session_token_too_long` if the names do not fit.
    """
    token = _get_serializer(_select_signing(ring)).dumps(
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
            "shorten the names of the account, the model and the version",
            step=errors.Step.VERIFY_SESSION,
        )
    return token


def verify(ring: model.KeyRing, token: str, account: str) -> model.Session:
    """Returns the session of a token.

    Args:
        ring: All keys of the ring are accepted.
        token: What the caller sent.
        account: Client account of the request.

    Raises:
        DragonflydykeError: `session_token_invalid` (403) if the token is too
            long, forged, malformed or of another account;
            `session_keys_missing` (503) if the ring is empty.
    """
    serializer = _get_serializer(ring)
    if len(token) > MAX_TOKEN_LENGTH:
        raise _reject(f"is longer than {MAX_TOKEN_LENGTH} characters")
    try:
        values = serializer.loads(token)
    except (itsdangerous.BadData, UnicodeError):
        raise _reject("has no valid signature") from None
    session = _parse(values)
    if session.client_account != account:
        raise _reject("belongs to another client account")
    return session


def create_key() -> model.SessionKey:
    """Returns a new random key."""
    return model.SessionKey(
        key_id=secrets.token_hex(_KEY_ID_BYTES),
        secret=secrets.token_urlsafe(_SECRET_BYTES),
    )


def rotate(ring: model.KeyRing) -> model.KeyRing:
    """Returns the ring with a new newest key and at most MAX_KEYS keys."""
    keys = (*ring.keys, create_key())
    return model.KeyRing(keys[-MAX_KEYS:])


def parse_ring(value: Mapping[str, Any]) -> model.KeyRing:
    """Parses the stored value of `control/keys`.

    Raises:
        KeyError: If a field is missing.
        ValueError: If there is no key or a secret is empty.
    """
    keys = tuple(
        model.SessionKey(key_id=entry["key_id"], secret=entry["secret"])
        for entry in value["keys"]
    )
    if not keys or not all(key.secret for key in keys):
        raise ValueError("a key ring needs keys, each with a secret")
    return model.KeyRing(keys)


def format_ring(ring: model.KeyRing) -> dict[str, Any]:
    """Returns the stored value of `control/keys`."""
    return {
        "keys": [
            {"key_id": key.key_id, "secret": key.secret} for key in ring.keys
        ]
    }


def _select_signing(ring: model.KeyRing) -> model.KeyRing:
    return model.KeyRing(ring.keys[-2:-1] or ring.keys)


@functools.lru_cache(maxsize=8)
def _get_serializer(ring: model.KeyRing) -> itsdangerous.URLSafeSerializer:
    if not ring.keys:
        raise errors.DragonflydykeError(
            "session_keys_missing",
            "this router has no session keys yet; retry",
            step=errors.Step.VERIFY_SESSION,
            retry_after_s=1.0,
            status=503,
        )
    # The library signs with the last key and tries all of them.
    return itsdangerous.URLSafeSerializer(
        [key.secret for key in ring.keys],
        salt=_SALT,
        signer_kwargs={
            "digest_method": hashlib.sha256,
            "key_derivation": "hmac",
        },
    )


def _parse(values: Any) -> model.Session:
    # Signed, but perhaps by a release with other fields.
    match values:
        case [str(), str(), str(), str(), int()]:
            return model.Session(*values)
    raise _reject("has unknown contents")


def _reject(reason: str) -> errors.DragonflydykeError:
    return errors.DragonflydykeError(
        "session_token_invalid",
        f"the session token {reason}; start a new session with "
        "Dragonflydyke-Session: new",
        step=errors.Step.VERIFY_SESSION,
        status=403,
        field="Dragonflydyke-Session",
    )
