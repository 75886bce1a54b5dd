"""Creation and rotation of the keys that sign session tokens."""

import secrets
import time
from typing import Any

from dragonflydyke import errors, logs, metrics, objects
from dragonflydyke.membership import state
from dragonflydyke.sessions import tokens

# A key ring is in force on all routers 6 s after it is written. An earlier
# second rotation would make a key sign tokens that some routers cannot verify.
MIN_ROTATION_PERIOD_S = 10.0
_KEY_ID_BYTES = 6
_SECRET_BYTES = 32
_MS_PER_S = 1_000

_logger = logs.get_logger("membership.keys")


class KeyRingManager:
    """Writes the key ring to `control/keys`; the next poll adopts it."""

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

    async def ensure_exists(self) -> None:
        """Creates the key ring if this node has not adopted one.

        Call it after a complete read of the control objects, which would have
        adopted an existing key ring. Failures are only counted; the poller
        calls again after its next read.
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

    async def rotate(self) -> tuple[str, ...]:
        """Adds a key to the ring, removing the oldest key of a full ring.

        The key before the newest signs new tokens.

        Returns:
            The key ids of the ring, oldest first.

        Raises:
            DragonflydykeError: `platform_unavailable` or
                `platform_outcome_unknown`; `platform_conflict` if another
                router changed the ring; `session_keys_missing` if there is no
                ring yet; or `session_keys_rotated_recently`.
        """
        stored = await self._objects.get(state.CONTROL_KIND, state.KEYS_NAME)
        if stored is None:
            raise _build_missing_error()
        keys = stored.value["keys"]
        if len(keys) > 1:  # The only key of a ring remains the signing key.
            _check_rotation_period(keys[-1])
        ring = [*keys, _generate_key()][-tokens.MAX_KEYS :]
        await self._objects.update(
            state.CONTROL_KIND,
            state.KEYS_NAME,
            {"keys": ring},
            stored.version,
        )
        _logger.info("key ring rotated")
        return tuple(key["key_id"] for key in ring)


def _generate_key() -> dict[str, Any]:
    return {
        "key_id": secrets.token_hex(_KEY_ID_BYTES),
        "secret": secrets.token_urlsafe(_SECRET_BYTES),
        "created_at_ms": int(time.time() * _MS_PER_S),
    }


def _check_rotation_period(newest: dict[str, Any]) -> None:
    age_s = time.time() - newest.get("created_at_ms", 0) / _MS_PER_S
    # A negative age means that the clock of the writing VM is ahead.
    if not 0 <= age_s < MIN_ROTATION_PERIOD_S:
        return
    raise errors.DragonflydykeError(
        "session_keys_rotated_recently",
        "the newest session key may not be in force on all routers yet; repeat "
        f"the rotation after {MIN_ROTATION_PERIOD_S:g} s",
        step=errors.Step.WRITE_PLATFORM,
        retry_after_s=MIN_ROTATION_PERIOD_S - age_s,
        status=409,
    )


def _build_missing_error() -> errors.DragonflydykeError:
    return errors.DragonflydykeError(
        "session_keys_missing",
        "there are no session keys yet; a router that can read the platform "
        "creates them within seconds",
        step=errors.Step.READ_PLATFORM,
        retry_after_s=1.0,
        status=503,
    )
