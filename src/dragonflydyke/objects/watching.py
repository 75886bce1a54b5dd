"""Following all objects of one kind through lists and long polls."""

import asyncio
import random
from collections.abc import Callable, Mapping
from typing import Protocol

from dragonflydyke import errors, logs, metrics
from dragonflydyke.objects import model

# A watch whose connection went silent is noticed after this time and one call
# timeout, which must stay within the bounds for changes and leaving servers.
WATCH_WAIT_S = 3.6
# Each change wakes all nodes, so changes that come together are read together.
_SETTLE_S = 0.25
_FIRST_RETRY_S = 0.1
# Many nodes that regain the store at once must not press on it together, but
# a change must still arrive within a second of its return.
_MAX_RETRY_S = 0.6

_LOGGER = logs.get_logger("store")


class WatchableStore(Protocol):
    """What a watcher needs of a store."""

    async def list_all(self, kind: str) -> model.ObjectList:
        """Returns all objects of a kind, as of now."""

    async def watch(
        self, kind: str, since: int, wait_s: float
    ) -> model.ObjectChanges:
        """Returns what changed after a version, waiting for a change.

        Raises:
            HistoryLostError: If the store forgot these changes.
        """


class KindView:
    """The known objects of a kind.

    Attributes:
        objects: Objects by name.
        confirmed_s: Loop time at which the store last confirmed them.
    """

    __slots__ = ("confirmed_s", "objects")

    def __init__(
        self, objects: Mapping[str, model.StoredObject], confirmed_s: float
    ) -> None:
        self.objects = objects
        self.confirmed_s = confirmed_s


class KindWatcher:
    """Keeps the objects of one kind up to date and reports each change."""

    __slots__ = (
        "_counters",
        "_kind",
        "_listener",
        "_lost",
        "_objects",
        "_random",
        "_retry_s",
        "_store",
        "_version",
    )

    def __init__(
        self,
        store: WatchableStore,
        kind: str,
        listener: Callable[[KindView, bool], None],
        counters: metrics.Counters,
        source: random.Random,
    ) -> None:
        """Creates a watcher.

        Args:
            store: Store to follow.
            kind: Kind of objects.
            listener: Called with the view after each change, and with whether
                contact was lost or history missed before it.
            counters: Receives `watch.<kind>.<event>`.
            source: Spreads retries of many nodes.
        """
        self._store = store
        self._kind = kind
        self._listener = listener
        self._counters = counters
        self._random = source
        self._objects: dict[str, model.StoredObject] = {}
        self._version: int | None = None
        self._retry_s = _FIRST_RETRY_S
        self._lost = False

    async def run(self) -> None:
        """Follows the kind until cancelled."""
        while True:
            try:
                await self._step()
            except errors.DragonflydykeError as error:
                await self._recover(error)

    async def _step(self) -> None:
        if self._version is None:
            await self._list()
            return
        changes = await self._store.watch(
            self._kind, self._version, WATCH_WAIT_S
        )
        self._note_contact()
        self._version = changes.version
        if not changes.written and not changes.removed:
            return
        for entry in changes.written:
            self._objects[entry.name] = entry
        for name in changes.removed:
            self._objects.pop(name, None)
        self._report(after_gap=False)
        await asyncio.sleep(_SETTLE_S)

    async def _list(self) -> None:
        listed = await self._store.list_all(self._kind)
        after_gap = self._lost
        self._note_contact()
        self._objects = {entry.name: entry for entry in listed.objects}
        self._version = listed.version
        self._report(after_gap=after_gap)

    def _report(self, *, after_gap: bool) -> None:
        now_s = asyncio.get_running_loop().time()
        self._listener(KindView(dict(self._objects), now_s), after_gap)

    def _note_contact(self) -> None:
        self._retry_s = _FIRST_RETRY_S
        if self._lost:
            self._lost = False
            _LOGGER.notice("store regained", kind=self._kind)

    async def _recover(self, error: errors.DragonflydykeError) -> None:
        self._counters.increment(f"watch.{self._kind}.{error.code}")
        if not self._lost:
            _LOGGER.warning(
                "store lost", kind=self._kind, code=error.code, error=str(error)
            )
        # Entries can lapse while the store is away, so that the history alone
        # does not tell what still holds.
        self._lost = True
        self._version = None
        if isinstance(error, model.HistoryLostError):
            return
        await asyncio.sleep(self._retry_s * self._random.uniform(0.5, 1.0))
        self._retry_s = min(self._retry_s * 2, _MAX_RETRY_S)
