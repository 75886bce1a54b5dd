"""Creation and rotation of the keys that sign session tokens."""

import secrets
from typing import Any

from dragonflydyke import errors, logs, metrics, objects
from dragonflydyke.membership import state

# Tokens signed with a key stay valid until it leaves the ring.
MAX_KEYS = 3
_KEY_ID_BYTES = 6
_SECRET_BYTES = 32

_logger = logs.get_logger("membership.keys")


class KeyRingKeeper:
    """Writes `control/keys`; the ring is adopted by the next poll."""

    __slots__ = ("_counters", "_objects", "_state")

    def __init__(
        self,
        object_store: objects.ObjectStore,
        state_store: state.StateStore,
        counters: metrics.Counters,
    ) -> None:
        self._objects = object_store
        self._state = state_store
        self._counters = counters

    async def ensure(self) -> None:
        """Creates the ring if a complete read showed none.

        Failures are counted; the caller tries again after its next read.
        """
        if state.KEYS_NAME in self._state.stored:
            return
        try:
            await self._objects.create(
                state.CONTROL_KIND,
                state.KEYS_NAME,
                {"keys": [_generate_key()]},
            )
        except errors.DragonflydykeError as error:
            self._counters.increment(f"keys.{error.code}")
            return
        _logger.info("key ring created")

    async def rotate(self) -> None:
        """Adds a new key, which signs from now on, and drops the oldest.

        Raises:
            DragonflydykeError: If the platform is unavailable, or
                `platform_conflict` if another router changed the ring.
        """
        stored = await self._objects.get(state.CONTROL_KIND, state.KEYS_NAME)
        if stored is None:
            await self.ensure()
            return
        ring = [*stored.value["keys"], _generate_key()]
        await self._objects.update(
            state.CONTROL_KIND,
            state.KEYS_NAME,
            {"keys": ring[-MAX_KEYS:]},
            stored.version,
        )
        _logger.info("key ring rotated")


def _generate_key() -> dict[str, Any]:
    return {
        "key_id": secrets.token_hex(_KEY_ID_BYTES),
        "secret": secrets.token_urlsafe(_SECRET_BYTES),
    }
