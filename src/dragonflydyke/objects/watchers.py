"""Watchers that follow all objects of a kind through lists and long polls.

A store that stops responding shows only in a call that times out. One watcher
of a node therefore polls often, and when any call fails the long polls of all
watchers are given up, as they may never end. Connections that alone go silent
are closed by keep-alive probes.
"""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable, Mapping
from typing import TypeVar

from dragonflydyke import errors, logs, metrics
from dragonflydyke.objects import model, replicas

# Part of the detection delay that is not available to a watch: the timeout of a
# call and the time of a list.
_CALL_MARGIN_S = 1.4
_MIN_WAIT_S = 1.0
# The store responds to a long poll after at most 30 s. Proxies between a node
# and the store may close connections that were idle for half a minute.
_LONG_WAIT_S = 15.0
# Each change notifies all nodes. A delay before the next watch lets them read
# several changes in quick succession together.
_COALESCING_DELAY_SHARE = 0.14
_MIN_RETRY_DELAY_S = 0.1
# Rejected calls of many nodes are a load on a store in trouble, and changes may
# take the detection delay to arrive after its return.
_MAX_RETRY_DELAY_SHARE = 0.2

_LOGGER = logs.get_logger("store")


_Result = TypeVar("_Result")


@dataclasses.dataclass(slots=True, frozen=True)
class WatchTiming:
    """Timing of watches.

    Attributes:
        max_detection_delay_s: Upper limit, in seconds, on the time from a
            change to its detection, also when the store or the connection of
            a watch stops responding without being closed.
        polls_often: Whether the watch itself detects such a store in time;
            other watches of the node are given up when this one fails.
    """

    max_detection_delay_s: float = 5.0
    polls_often: bool = True

    @property
    def wait_s(self) -> float:
        """Seconds after which the store responds to a watch without changes."""
        if not self.polls_often:
            return _LONG_WAIT_S
        return max(_MIN_WAIT_S, self.max_detection_delay_s - _CALL_MARGIN_S)

    @property
    def coalescing_delay_s(self) -> float:
        """Seconds to wait after a change before the next watch is sent."""
        return self.max_detection_delay_s * _COALESCING_DELAY_SHARE

    @property
    def max_retry_delay_s(self) -> float:
        """Maximum seconds between two calls to an unavailable store."""
        return self.max_detection_delay_s * _MAX_RETRY_DELAY_SHARE


class StoreRetryGate:
    """Limits the calls of a node to an unavailable store to one at a time.

    A store that rejects the calls of some nodes counts each rejected call. A
    node therefore retries with a single probe of low cost, and all its watchers
    continue when a probe succeeds.
    """

    __slots__ = (
        "_interruption",
        "_is_unavailable",
        "_lock",
        "_max_delay_s",
        "_next_delay_s",
        "_probe",
        "_random",
    )

    def __init__(
        self,
        jitter_source: random.Random,
        probe: Callable[[], Awaitable[None]],
        timing: WatchTiming,
    ) -> None:
        """Creates the gate of a store that is assumed to be available.

        Args:
            jitter_source: Random numbers that spread the retries of the nodes.
            probe: Reads from the store at low cost; raises DragonflydykeError
                if the store does not respond.
            timing: Timing of the watches.
        """
        self._max_delay_s = timing.max_retry_delay_s
        self._is_unavailable = False
        self._interruption = asyncio.Event()
        self._lock = asyncio.Lock()
        self._random = jitter_source
        self._probe = probe
        self._next_delay_s = _MIN_RETRY_DELAY_S

    @property
    def is_unavailable(self) -> bool:
        """Whether the last call failed."""
        return self._is_unavailable

    async def call(self, send: Callable[[], Awaitable[_Result]]) -> _Result:
        """Sends a call; serialised and delayed while the store is unavailable.

        Raises:
            DragonflydykeError: Any error that the call raises.
        """
        if not self._is_unavailable:
            return await self._send(send)
        async with self._lock:
            if self._is_unavailable:
                delay_s = self._next_delay_s * self._random.uniform(0.5, 1.0)
                self._next_delay_s = min(
                    self._next_delay_s * 2, self._max_delay_s
                )
                await asyncio.sleep(delay_s)
                await self._probe()
                return await self._send(send)
        return await self._send(send)

    async def poll(self, send: Callable[[], Awaitable[_Result]]) -> _Result:
        """Sends a long poll, which is given up when another call fails.

        Raises:
            DragonflydykeError: Any error that the call raises, or
                platform_unavailable if it was given up.
        """
        if self._is_unavailable:
            return await self.call(send)
        interruption = asyncio.ensure_future(self._interruption.wait())
        response = asyncio.ensure_future(send())
        response.add_done_callback(_discard_result)
        try:
            await asyncio.wait(
                (response, interruption), return_when=asyncio.FIRST_COMPLETED
            )
        except asyncio.CancelledError:
            response.cancel()
            raise
        finally:
            interruption.cancel()
        if not response.done():
            # Its connection may be silent. It is left to its own timeout, since
            # the HTTP client cannot withdraw it.
            raise model.PlatformUnavailableError(
                "long poll given up, as another call failed",
                step=errors.Step.READ_PLATFORM,
                peer="store",
            )
        return await self._send(lambda: response)

    async def _send(self, send: Callable[[], Awaitable[_Result]]) -> _Result:
        try:
            result = await send()
        except model.HistoryLostError:
            self._record_success()
            raise
        except errors.DragonflydykeError:
            self._record_failure()
            raise
        self._record_success()
        return result

    def _record_failure(self) -> None:
        self._is_unavailable = True
        self._interruption.set()
        self._interruption = asyncio.Event()

    def _record_success(self) -> None:
        self._is_unavailable = False
        self._next_delay_s = _MIN_RETRY_DELAY_S


def _discard_result(response: asyncio.Future[_Result]) -> None:
    """Marks the error of a call that was given up as retrieved."""
    if not response.cancelled():
        response.exception()


class KindSnapshot:
    """Objects of a kind at a point in time.

    Attributes:
        objects: Objects by name.
        confirmed_s: Loop time of the store's response that confirmed them.
        version: Version of the store up to which they are complete.
    """

    __slots__ = ("confirmed_s", "objects", "version")

    def __init__(
        self,
        objects: Mapping[str, model.StoredObject],
        confirmed_s: float,
        version: int,
    ) -> None:
        self.objects = objects
        self.confirmed_s = confirmed_s
        self.version = version


class KindWatcher:
    """Follows the objects of a kind and notifies a listener of each change.

    Attributes:
        confirmed_s: Loop time of the store's last response on this kind, None
            before the first.
    """

    __slots__ = (
        "_counters",
        "_is_disconnected",
        "_kind",
        "_listener",
        "_objects",
        "_reader",
        "_retry_gate",
        "_timing",
        "_version",
        "confirmed_s",
    )

    def __init__(
        self,
        reader: replicas.ReplicaReader,
        kind: str,
        listener: Callable[[KindSnapshot, bool], None],
        counters: metrics.Counters,
        retry_gate: StoreRetryGate,
        timing: WatchTiming,
    ) -> None:
        """Creates a watcher.

        Args:
            reader: Reads the store, shared by the watchers of a node.
            kind: Kind of objects.
            listener: Called after each change with a snapshot and with whether
                the store was unavailable, or changes were missed, before it.
            counters: Receives `watch.<kind>.<error code>`.
            retry_gate: Gate of the calls to the store, shared by the watchers
                of a node.
            timing: Timing of the watches.
        """
        self._retry_gate = retry_gate
        self._timing = timing
        self._reader = reader
        self._kind = kind
        self._listener = listener
        self._counters = counters
        self._objects: dict[str, model.StoredObject] = {}
        self._version: int | None = None
        self._is_disconnected = False
        self.confirmed_s: float | None = None

    def find_age_s(self, now_s: float) -> float | None:
        """Returns the seconds since the last response, None before the first.

        Args:
            now_s: Current loop time.
        """
        if self.confirmed_s is None:
            return None
        return round(now_s - self.confirmed_s, 2)

    async def run(self) -> None:
        """Follows the kind until cancelled.

        May be called again after an error of the listener; the kind is then
        listed again.
        """
        self._version = None
        while True:
            try:
                await self._step()
            except errors.DragonflydykeError as error:
                self._record_failure(error)

    async def _step(self) -> None:
        if self._retry_gate.is_unavailable:
            # Lists instead of watching: a long poll would block the retry gate
            # for the other watchers of this node, and entries can expire while
            # the store is unavailable.
            self._version = None
            self._is_disconnected = True
        if self._version is None:
            await self._list()
            return
        since = self._version
        changes = await self._retry_gate.poll(
            lambda: self._reader.watch(self._kind, since, self._timing.wait_s)
        )
        self._record_response()
        # A replica that lags behind may report an older version.
        self._version = max(since, changes.version)
        if not changes.written and not changes.removed:
            return
        for entry in changes.written:
            self._objects[entry.name] = entry
        for name in changes.removed:
            self._objects.pop(name, None)
        self._notify_listener(self._version, after_gap=False)
        await asyncio.sleep(self._timing.coalescing_delay_s)

    async def _list(self) -> None:
        listed = await self._retry_gate.call(
            lambda: self._reader.list_all(self._kind)
        )
        after_gap = self._is_disconnected
        self._record_response()
        self._objects = {entry.name: entry for entry in listed.objects}
        self._version = listed.version
        self._notify_listener(listed.version, after_gap=after_gap)

    def _notify_listener(self, version: int, *, after_gap: bool) -> None:
        now_s = asyncio.get_running_loop().time()
        snapshot = KindSnapshot(dict(self._objects), now_s, version)
        self._listener(snapshot, after_gap)

    def _record_response(self) -> None:
        self.confirmed_s = asyncio.get_running_loop().time()
        if self._is_disconnected:
            self._is_disconnected = False
            _LOGGER.notice("store regained", kind=self._kind)

    def _record_failure(self, error: errors.DragonflydykeError) -> None:
        self._counters.increment(f"watch.{self._kind}.{error.code}")
        if not self._is_disconnected:
            _LOGGER.warning(
                "store lost",
                kind=self._kind,
                code=error.code,
                error=str(error),
                confirmed_age_s=self.find_age_s(
                    asyncio.get_running_loop().time()
                ),
            )
        # Entries can expire while the store is unavailable, which the history
        # of changes does not show.
        self._is_disconnected = True
        self._version = None
