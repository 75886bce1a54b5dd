"""Sessions and the keys that sign session tokens."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class SessionKey:
    """A signing key; its representation leaves out the secret."""

    key_id: str
    secret: str = dataclasses.field(repr=False)


@dataclasses.dataclass(slots=True, frozen=True)
class KeyRing:
    """Signing keys, oldest first.

    The newest key but one signs, and all keys verify; see `tokens.issue`.
    """

    keys: tuple[SessionKey, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Session:
    """A conversation that is pinned to one version of a model.

    Attributes:
        client_account: Name of the client account that started it.
        session_id: Random identifier.
        model: Name of the model.
        version: Name of the version.
        started_at_ms: Unix time in milliseconds of the start.
    """

    client_account: str
    session_id: str
    model: str
    version: str
    started_at_ms: int
