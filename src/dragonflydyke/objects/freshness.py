"""Proof that what a node knows of the store is recent.

Watches tell a node of changes but not of their absence: a replica that lags
behind and a connection whose response was lost look like a store in which
nothing changes. A node therefore asks at an interval for a version that the
store had a moment ago, and each kind of objects has to be complete up to it. A
kind that is not catches up through a call of its own, so that the age of what
the node knows is limited for all kinds by one rule.

One node of a group reads the store for the others, which ask it. A peer also
tells the newest change of each kind, so that changes of one kind cause no calls
for the others. Without a recent answer of a peer, a node reads the store.
"""

import asyncio
import math
import random
from collections.abc import Sequence

from dragonflydyke import errors, logs, settings
from dragonflydyke.objects import peer_groups, peer_links, replicas, watchers

# Parts of the limit on the age. The sum of the interval between two checks, the
# age of a peer's answer and two timeouts leaves a quarter of the limit to the
# calls that a kind needs in order to catch up.
_CHECK_INTERVAL_SHARE = 0.35
_SHARED_AGE_SHARE = 0.2
_PEER_TIMEOUT_SHARE = 0.1
# A timer that is later than this was delayed with the whole process.
_MAX_TIMER_DELAY_SHARE = 0.1
# Requests wait this long for an overdue check, as the store may be away.
_MAX_WAIT_SHARE = 0.1
# Checks after which a node that nobody asked any more stops reading for others.
_READER_CHECKS = 3
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
        "_asked_s",
        "_catch_ups",
        "_expected_s",
        "_group",
        "_link",
        "_lock",
        "_max_age_s",
        "_random",
        "_reader",
        "_refresh",
        "_retry_gate",
        "_state",
        "_watchers",
    )

    def __init__(
        self,
        reader: replicas.ReplicaReader,
        kind_watchers: Sequence[watchers.KindWatcher],
        retry_gate: watchers.StoreRetryGate,
        max_age_s: float,
        source: random.Random,
        group: peer_groups.PeerGroup | None = None,
    ) -> None:
        """Creates a monitor.

        Args:
            reader: Reads the store, shared by the watchers of a node.
            kind_watchers: Watchers of all kinds.
            retry_gate: Gate of the calls to the store, shared by the watchers
                of a node.
            max_age_s: Seconds within which a change takes effect.
            source: Random source that spreads the checks of the nodes.
            group: Peers to ask, None to read the store always.
        """
        self._reader = reader
        self._watchers = tuple(kind_watchers)
        self._retry_gate = retry_gate
        self._max_age_s = max_age_s
        self._random = source
        self._group = group or peer_groups.PeerGroup()
        self._link = peer_links.PeerLink(self._provide)
        self._lock = asyncio.Lock()
        self._state: peer_links.StoreState | None = None
        self._asked_s = -math.inf
        # Loop time by which the next check begins, or the current one ends,
        # unless the process is suspended.
        self._expected_s = math.inf
        self._refresh: asyncio.Task[None] | None = None
        # Kinds that catch up, by kind; one whose response arrives slowly goes
        # on over several checks.
        self._catch_ups: dict[
            str, asyncio.Task[errors.DragonflydykeError | None]
        ] = {}

    async def open(self, address: settings.Address) -> None:
        """Starts asking and answering peers.

        Args:
            address: Address of this node for datagrams.
        """
        await self._link.open(address)

    def close(self) -> None:
        """Stops asking and answering peers."""
        self._link.close()
        if self._refresh is not None:
            self._refresh.cancel()
        for task in self._catch_ups.values():
            task.cancel()

    async def run(self) -> None:
        """Checks the watchers until cancelled."""
        while True:
            interval_s = find_check_interval_s(self._max_age_s)
            if self._reads_for_peers():
                interval_s = self._max_age_s * _SHARED_AGE_SHARE
            jitter = self._random.uniform(_MIN_JITTER, 1.0)
            self._expect_check_within(interval_s)
            await asyncio.sleep(interval_s * jitter)
            if self._is_overdue():
                await asyncio.wait({self._start_refresh()})
            # The watchers list their kinds once the store is available.
            elif not self._retry_gate.is_unavailable:
                self._expect_check_within(self._max_age_s)
                await self._check_or_log()

    async def refresh_if_overdue(self) -> None:
        """Checks the watchers before what they know is used, if that is late.

        A process that was suspended finds its timers and the requests of
        clients due at the same moment, in any order. Returns after a short
        time also without success, as requests are served while the store is
        away.
        """
        if not self._is_overdue():
            return
        timeout_s = self._max_age_s * _MAX_WAIT_SHARE
        await asyncio.wait({self._start_refresh()}, timeout=timeout_s)

    async def check(self) -> None:
        """Lets all kinds catch up with a recent state of the store.

        A kind that takes longer than the time between two checks goes on, so
        that it does not delay the next check of the others.

        Raises:
            DragonflydykeError: If the store does not respond or rejects a call.
        """
        async with self._lock:
            state = None
            if not self._reads_for_peers():
                state = await self._ask_peers()
            if state is None:
                state = await self._read_store()
            await self._catch_up(state)

    def _is_overdue(self) -> bool:
        return asyncio.get_running_loop().time() > self._expected_s

    def _expect_check_within(self, seconds: float) -> None:
        now_s = asyncio.get_running_loop().time()
        delay_s = self._max_age_s * _MAX_TIMER_DELAY_SHARE
        self._expected_s = now_s + seconds + delay_s

    def _start_refresh(self) -> asyncio.Task[None]:
        """Returns the overdue check that runs, or begins one."""
        if self._refresh is None or self._refresh.done():
            _LOGGER.notice("check of the store is overdue")
            self._refresh = asyncio.create_task(self._refresh_overdue())
        return self._refresh

    async def _refresh_overdue(self) -> None:
        """Checks the watchers; the check stays overdue until this ends."""
        try:
            await self._check_or_log()
        except Exception:
            _LOGGER.exception("overdue check of the store failed")
        finally:
            self._expect_check_within(find_check_interval_s(self._max_age_s))

    async def _check_or_log(self) -> None:
        try:
            await self.check()
        except errors.DragonflydykeError as error:
            _LOGGER.info(
                "store state not checked", code=error.code, error=str(error)
            )

    def _reads_for_peers(self) -> bool:
        """Returns whether peers have asked this node lately."""
        period_s = find_check_interval_s(self._max_age_s) * _READER_CHECKS
        return asyncio.get_running_loop().time() - self._asked_s < period_s

    def _is_recent(self, state: peer_links.StoreState | None) -> bool:
        """Returns whether a state is recent enough to be shared by peers."""
        if state is None:
            return False
        age_s = peer_links.find_uptime_s() - state.read_s
        return age_s <= self._max_age_s * _SHARED_AGE_SHARE

    async def _ask_peers(self) -> peer_links.StoreState | None:
        """Returns the first recent answer of a peer, None without one."""
        loop = asyncio.get_running_loop()
        timeout_s = self._max_age_s * _PEER_TIMEOUT_SHARE
        for address in self._group.list_candidates(loop.time()):
            state = await self._link.ask(address, timeout_s)
            if self._is_recent(state):
                self._group.record_answer(address)
                return state
            self._group.record_failure(address, loop.time())
        return None

    async def _read_store(self) -> peer_links.StoreState:
        read_s = peer_links.find_uptime_s()
        version = await self._retry_gate.call(self._reader.read_version)
        return peer_links.StoreState(read_s, version, {})

    async def _catch_up(self, state: peer_links.StoreState) -> None:
        """Lets all kinds catch up, and keeps what is then known for peers."""
        await self._reader.record_store_version(state.version)
        age_s = peer_links.find_uptime_s() - state.read_s
        read_s = asyncio.get_running_loop().time() - age_s
        versions = {
            watcher: state.kind_versions.get(watcher.kind, state.version)
            for watcher in self._watchers
        }
        self._collect_results()
        for watcher, version in versions.items():
            self._start_catch_up(watcher, version, read_s)
        await asyncio.wait(
            self._catch_ups.values(),
            timeout=find_check_interval_s(self._max_age_s),
        )
        self._collect_results()
        if all(
            watcher.is_complete(version)
            for watcher, version in versions.items()
        ):
            self._state = peer_links.StoreState(
                state.read_s,
                state.version,
                {
                    watcher.kind: watcher.changed_version
                    for watcher in self._watchers
                },
            )

    def _start_catch_up(
        self, watcher: watchers.KindWatcher, version: int, read_s: float
    ) -> None:
        """Lets a kind catch up, unless an earlier check still does so."""
        if watcher.kind not in self._catch_ups:
            self._catch_ups[watcher.kind] = asyncio.create_task(
                _catch_up_kind(watcher, version, read_s)
            )

    def _collect_results(self) -> None:
        """Removes the kinds that caught up.

        Raises:
            DragonflydykeError: If one of them failed; the first one is raised.
        """
        ended = [
            self._catch_ups.pop(kind)
            for kind, task in tuple(self._catch_ups.items())
            if task.done()
        ]
        failures = [error for task in ended if (error := task.result())]
        if failures:
            raise failures[0]

    async def _provide(self) -> peer_links.StoreState | None:
        """Returns a recent state for a peer, None if there is none."""
        self._asked_s = asyncio.get_running_loop().time()
        if not self._is_recent(self._state):
            await self._refresh_or_log()
        return self._state if self._is_recent(self._state) else None

    async def _refresh_or_log(self) -> None:
        """Reads the store unless another task has just done so."""
        if self._retry_gate.is_unavailable:
            return
        try:
            async with self._lock:
                if not self._is_recent(self._state):
                    await self._catch_up(await self._read_store())
        except errors.DragonflydykeError as error:
            _LOGGER.info(
                "store state not read for a peer",
                code=error.code,
                error=str(error),
            )


async def _catch_up_kind(
    watcher: watchers.KindWatcher, version: int, read_s: float
) -> errors.DragonflydykeError | None:
    """Lets a kind catch up; returns the error, which the next check raises."""
    try:
        await watcher.catch_up(version, read_s)
    except errors.DragonflydykeError as error:
        return error
    return None
