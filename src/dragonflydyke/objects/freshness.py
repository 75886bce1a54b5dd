"""Proof that what a node knows of the store is recent.

Watches tell a node of changes but not of their absence: a replica that lags
behind and a connection whose response was lost look like a store in which
nothing changes. A node therefore asks at an interval for a version that the
store had a moment ago, and each kind of objects has to be complete up to it. A
kind that is not catches up through a call of its own, so that the age of what
the node knows is limited for all kinds by one rule.
"""

import asyncio
import random
from collections.abc import Sequence

from dragonflydyke import errors, logs
from dragonflydyke.objects import replicas, watchers

# Share of the limit on the age that passes between two checks. The rest is left
# to the calls that a kind needs in order to catch up.
_CHECK_INTERVAL_SHARE = 0.35
# The nodes of a fleet start together; their checks are spread.
_MIN_JITTER = 0.9

_LOGGER = logs.get_logger("store")


def find_check_interval_s(max_age_s: float) -> float:
    """Returns the seconds between two checks.

    Args:
        max_age_s: Seconds within which a change takes effect.
    """
    return max_age_s * _CHECK_INTERVAL_SHARE


class FreshnessMonitor:
    """Limits the age of what the watchers of a node know."""

    __slots__ = (
        "_interval_s",
        "_random",
        "_reader",
        "_retry_gate",
        "_watchers",
    )

    def __init__(
        self,
        reader: replicas.ReplicaReader,
        kind_watchers: Sequence[watchers.KindWatcher],
        retry_gate: watchers.StoreRetryGate,
        max_age_s: float,
        source: random.Random,
    ) -> None:
        """Creates a monitor.

        Args:
            reader: Reads the store, shared by the watchers of a node.
            kind_watchers: Watchers of all kinds.
            retry_gate: Gate of the calls to the store, shared by the watchers
                of a node.
            max_age_s: Seconds within which a change takes effect.
            source: Random source that spreads the checks of the nodes.
        """
        self._reader = reader
        self._watchers = tuple(kind_watchers)
        self._retry_gate = retry_gate
        self._interval_s = find_check_interval_s(max_age_s)
        self._random = source

    async def run(self) -> None:
        """Checks the watchers until cancelled."""
        while True:
            jitter = self._random.uniform(_MIN_JITTER, 1.0)
            await asyncio.sleep(self._interval_s * jitter)
            # The watchers list their kinds once the store is available.
            if not self._retry_gate.is_unavailable:
                await self._check_or_log()

    async def _check_or_log(self) -> None:
        try:
            await self.check()
        except errors.DragonflydykeError as error:
            _LOGGER.info("store state not checked", code=error.code)

    async def check(self) -> None:
        """Lets all kinds catch up with the current version of the store.

        Raises:
            DragonflydykeError: If the store does not respond or rejects a call.
        """
        read_s = asyncio.get_running_loop().time()
        version = await self._retry_gate.call(self._reader.read_version)
        await self._reader.record_store_version(version)
        await asyncio.gather(
            *(watcher.catch_up(version, read_s) for watcher in self._watchers)
        )
