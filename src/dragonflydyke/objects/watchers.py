"""Watchers that follow all objects of a kind through lists and long polls.

A store that stops responding shows only in a call that times out. When any call
of a node fails, the long polls of all its watchers are given up, as they may
never end. Connections that alone go silent are closed by keep-alive probes.

A long poll that does not end looks the same whether nothing has changed, its
response was lost, or a replica that lags behind serves it. `freshness` finds
out which, and lets a watcher catch up beside its long poll.
"""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, TypeVar

from dragonflydyke import errors, logs, metrics
from dragonflydyke.objects import model, replicas

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
            change to its detection after the store was unavailable.
    """

    max_detection_delay_s: float = 5.0

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

    async def poll(
        self,
        send: Callable[[], Awaitable[_Result]],
        overtaken: asyncio.Event,
        is_receiving: Callable[[], bool] = lambda: False,
    ) -> _Result | None:
        """Sends a long poll, which is given up when another call fails.

        A response that is arriving is awaited, as it has a timeout of its own
        and would be read again.

        Args:
            send: Sends the long poll.
            overtaken: Set when the response is of no use any more.
            is_receiving: Returns whether the response is arriving.

        Returns:
            The response, or None if the long poll was overtaken.

        Raises:
            DragonflydykeError: Any error that the call raises, or
                platform_unavailable if it was given up.
        """
        if self._is_unavailable:
            return await self.call(send)
        response = asyncio.ensure_future(send())
        response.add_done_callback(_discard_result)
        ends = [
            asyncio.ensure_future(event.wait())
            for event in (self._interruption, overtaken)
        ]
        try:
            await asyncio.wait(
                (response, *ends), return_when=asyncio.FIRST_COMPLETED
            )
            if is_receiving():
                await asyncio.wait((response,))
        except asyncio.CancelledError:
            response.cancel()
            raise
        finally:
            for end in ends:
                end.cancel()
        if not response.done() and overtaken.is_set():
            return None
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


def _build_set_event() -> asyncio.Event:
    event = asyncio.Event()
    event.set()
    return event


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

    @property
    def records(self) -> list[Any]:
        """Values of the objects, without those that could not be decoded."""
        values = (entry.value for entry in self.objects.values())
        return [value for value in values if value is not None]


class KindWatcher:
    """Follows the objects of a kind and notifies a listener of each change.

    Attributes:
        changed_version: Version of the store at or after the newest known
            change of the kind.
        confirmed_s: Loop time up to which all changes are known, None before
            the first list.
        kind: Kind of the objects.
        version: Version of the store up to which the objects are complete, None
            while they have to be listed.
    """

    __slots__ = (
        "_counters",
        "_is_disconnected",
        "_is_watching",
        "_listener",
        "_objects",
        "_overtaken",
        "_reader",
        "_received",
        "_retry_gate",
        "_timing",
        "changed_version",
        "confirmed_s",
        "kind",
        "version",
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
            counters: Receives `watch.<kind>.<error code>` and
                `watch.<kind>.overtaken`.
            retry_gate: Gate of the calls to the store, shared by the watchers
                of a node.
            timing: Timing of the watches.
        """
        self._retry_gate = retry_gate
        self._timing = timing
        self._reader = reader
        self._listener = listener
        self._counters = counters
        self._objects: dict[str, model.StoredObject] = {}
        self._is_disconnected = False
        self._is_watching = False
        self._overtaken = asyncio.Event()
        # Set while no response to the long poll is arriving.
        self._received = _build_set_event()
        self.changed_version = 0
        self.confirmed_s: float | None = None
        self.kind = kind
        self.version: int | None = None

    def find_age_s(self, now_s: float) -> float | None:
        """Returns the age of what is known, None before the first list.

        Args:
            now_s: Current loop time.

        Returns:
            Seconds since the time up to which all changes are known.
        """
        if self.confirmed_s is None:
            return None
        return round(now_s - self.confirmed_s, 2)

    def is_complete(self, version: int) -> bool:
        """Returns whether the objects are complete up to a version."""
        return self.version is not None and self.version >= version

    async def run(self) -> None:
        """Follows the kind until cancelled.

        May be called again after an error of the listener; the kind is then
        listed again.
        """
        self.version = None
        while True:
            try:
                await self._step()
            except errors.DragonflydykeError as error:
                self._record_failure(error)

    async def catch_up(self, version: int, read_s: float) -> bool:
        """Reads the changes up to a version of the store, beside the long poll.

        Args:
            version: Version that the store had.
            read_s: Loop time at which it had that version, or a later one.

        Returns:
            Whether the objects are now complete up to the version.

        Raises:
            DragonflydykeError: If the store does not respond or rejects a call.
        """
        if self.version is not None and self.version < version:
            # The long poll may be receiving the changes. Over a narrow link, a
            # second response would delay both.
            await self._received.wait()
        since = self.version
        if since is not None and since < version:
            await self._read_changes(since, version)
        if not self.is_complete(version):
            return False
        self._confirm(read_s)
        return True

    async def _read_changes(self, since: int, version: int) -> None:
        try:
            changes = await self._retry_gate.call(
                lambda: self._reader.read_changes(self.kind, since, version)
            )
        except model.HistoryLostError as error:
            self._record_failure(error)
            self._overtaken.set()
            return
        age_s = self._find_current_age_s()
        try:
            has_changes = self._apply(changes, since)
        except Exception:
            # The listener may lack the changes, so the kind is listed again.
            self.version = None
            self._overtaken.set()
            raise
        if not has_changes:
            return
        self._overtaken.set()
        if self._is_watching:
            self._counters.increment(f"watch.{self.kind}.overtaken")
            _LOGGER.notice(
                "watch missed a change",
                kind=self.kind,
                since=since,
                version=changes.version,
                confirmed_age_s=age_s,
            )

    async def _step(self) -> None:
        if self._retry_gate.is_unavailable:
            # Lists instead of watching: a long poll would block the retry gate
            # for the other watchers of this node, and entries can expire while
            # the store is unavailable.
            self.version = None
            self._is_disconnected = True
        if self.version is None:
            await self._list()
            return
        since = self.version
        self._overtaken.clear()
        self._is_watching = True
        # A response that is given up may still begin to arrive later, so that
        # each long poll has an event of its own.
        received = self._received
        try:
            changes = await self._retry_gate.poll(
                lambda: self._reader.watch(
                    self.kind, since, _LONG_WAIT_S, received.clear
                ),
                self._overtaken,
                lambda: not received.is_set(),
            )
            if changes is None:
                return
            self._record_response()
            has_changes = self._apply(changes, since)
        finally:
            self._is_watching = False
            received.set()
            self._received = _build_set_event()
        if has_changes:
            await asyncio.sleep(self._timing.coalescing_delay_s)

    def _apply(self, changes: model.ObjectChanges, since: int) -> bool:
        """Applies the changes after a version.

        Returns:
            Whether there were changes that are not known yet.
        """
        if self.version is None:
            return False
        is_overtaken = since != self.version
        if is_overtaken and changes.version <= self.version:
            return False
        # A replica that lags behind may report an older version.
        self.version = max(self.version, changes.version)
        if not changes.written and not changes.removed:
            return False
        for entry in changes.written:
            self._objects[entry.name] = entry
        for name in changes.removed:
            self._objects.pop(name, None)
        self._record_change(changes)
        self._notify_listener(self.version, after_gap=False)
        return True

    def _record_change(self, changes: model.ObjectChanges) -> None:
        versions = [entry.version for entry in changes.written]
        if changes.removed:
            versions.append(changes.version)
        self.changed_version = max(self.changed_version, *versions)

    async def _list(self) -> None:
        started_s = asyncio.get_running_loop().time()
        listed = await self._retry_gate.call(
            lambda: self._reader.list_all(self.kind)
        )
        after_gap = self._is_disconnected
        self._record_response()
        self._confirm(started_s)
        self._objects = {entry.name: entry for entry in listed.objects}
        self.version = listed.version
        # The list does not tell when the newest object was removed.
        self.changed_version = listed.version
        self._notify_listener(listed.version, after_gap=after_gap)

    def _notify_listener(self, version: int, *, after_gap: bool) -> None:
        now_s = asyncio.get_running_loop().time()
        snapshot = KindSnapshot(dict(self._objects), now_s, version)
        self._listener(snapshot, after_gap)

    def _confirm(self, read_s: float) -> None:
        if self.confirmed_s is None or self.confirmed_s < read_s:
            self.confirmed_s = read_s

    def _find_current_age_s(self) -> float | None:
        return self.find_age_s(asyncio.get_running_loop().time())

    def _record_response(self) -> None:
        if self._is_disconnected:
            self._is_disconnected = False
            _LOGGER.notice("store regained", kind=self.kind)

    def _record_failure(self, error: errors.DragonflydykeError) -> None:
        self._counters.increment(f"watch.{self.kind}.{error.code}")
        if not self._is_disconnected:
            _LOGGER.warning(
                "store lost",
                kind=self.kind,
                code=error.code,
                error=str(error),
                confirmed_age_s=self._find_current_age_s(),
            )
        # Entries can expire while the store is unavailable, which the history
        # of changes does not show.
        self._is_disconnected = True
        self.version = None
