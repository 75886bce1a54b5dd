"""Sessions and the keys that sign their tokens."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class SessionKey:
    """A signing key; the secret is never logged."""

    key_id: str
    secret: str = dataclasses.field(repr=False)


@dataclasses.dataclass(slots=True, frozen=True)
class KeyRing:
    """Signing keys, oldest first; the newest signs, all verify."""

    keys: tuple[SessionKey, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Session:
    """A conversation that stays on one version of a model."""

    client_account: str
    session_id: str
    model: str
    version: str
    started_at_ms: int
