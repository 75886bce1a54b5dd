"""Reads of the store that replicas serve as long as they are current.

Stale reads cost the store much less than linearizable ones, so a fleet of
hundreds of nodes follows changes through them. A list is taken from a replica
only if that has reached the current version of the store, which one
linearizable read tells for all kinds. A watch from the version of such a list
delivers every later change in order, unless the store was restored from a copy
meanwhile, which starts a new history.

A replica may lag behind by more than the limits on changes allow, above all
after the store lost its history. If nothing changes meanwhile, such a replica
has the same version as the store, so that an equal version proves nothing. Its
lag shows only in a version that the store issued later, see `freshness`. Once a
lag was seen, watches are linearizable until one has returned a version that the
store issued within the tolerated lag, and a replica has that version, too.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

from dragonflydyke import errors, logs
from dragonflydyke.objects import model

# The watchers of a node list their kinds at about the same time, so that one
# read of the store's version serves all of them.
_VERSION_MAX_AGE_S = 0.5
# Replicas that are current differ from each other by less than this time.
_REPLICA_TOLERANCE_S = 0.5
_MAX_LAG_S = 2.0
# Time in which a change reaches a replica that is current.
_PROPAGATION_DELAY_S = 0.05

_LOGGER = logs.get_logger("store")


class WatchableStore(Protocol):
    """Store whose changes can be followed.

    The values of its objects are records, or None for objects that cannot be
    decoded, so that what other writers stored is not kept.
    """

    async def list_all(
        self, kind: str, *, consistency: model.ReadConsistency
    ) -> model.ObjectList:
        """Returns all objects of a kind.

        Args:
            kind: Kind of the objects.
            consistency: Whether a replica that lags behind may respond.
        """

    async def read_version(self, kind: str) -> int:
        """Returns the current version of the store, by reading a small kind."""

    async def watch(
        self,
        kind: str,
        since: int,
        wait_s: float,
        *,
        consistency: model.ReadConsistency,
        on_start: Callable[[], None] = lambda: None,
    ) -> model.ObjectChanges:
        """Returns the changes after a version, waiting until there is one.

        Args:
            kind: Kind of the objects.
            since: Version of the store after which changes are returned.
            wait_s: Seconds after which the store responds without changes.
            consistency: Whether a replica that lags behind may respond.
            on_start: Called when the response begins to arrive.

        Raises:
            HistoryLostError: If the store no longer has these changes.
        """

    async def probe(self, kind: str) -> None:
        """Sends a read of low cost to test whether the store responds.

        Raises:
            DragonflydykeError: If the store does not respond or rejects it.
        """


class ReplicaReader:
    """Reads kinds from replicas of the store while they are current."""

    __slots__ = (
        "_are_current",
        "_max_lag_s",
        "_newest_version",
        "_read_at_s",
        "_smallest_kind",
        "_store",
        "_version",
    )

    def __init__(
        self,
        store: WatchableStore,
        smallest_kind: str,
        max_lag_s: float = _MAX_LAG_S,
    ) -> None:
        """Creates a reader; replicas count as current until one lags behind.

        Args:
            store: Store to read from.
            smallest_kind: Kind with few objects, whose list tells the version
                of the store.
            max_lag_s: Seconds by which a replica may lag behind and still count
                as current.
        """
        self._store = store
        self._max_lag_s = max_lag_s
        self._smallest_kind = smallest_kind
        self._version: asyncio.Future[int] | None = None
        self._read_at_s = 0.0
        self._are_current = True
        self._newest_version = 0

    async def list_all(self, kind: str) -> model.ObjectList:
        """Returns all current objects of a kind.

        Raises:
            DragonflydykeError: If the store does not respond or rejects a call.
        """
        version = await self._read_version()
        listed = await self._store.list_all(
            kind, consistency=model.ReadConsistency.STALE
        )
        if listed.version < version:
            # The version may have been issued a moment ago.
            await asyncio.sleep(_PROPAGATION_DELAY_S)
            listed = await self._store.list_all(
                kind, consistency=model.ReadConsistency.STALE
            )
        if listed.version < version:
            self._record_lag(listed.version, version)
            listed = await self._store.list_all(
                kind, consistency=model.ReadConsistency.LINEARIZABLE
            )
        self._record_version(listed.version)
        return listed

    async def read_version(self) -> int:
        """Returns the version that the store has now.

        Raises:
            DragonflydykeError: If the store does not respond or rejects a call.
        """
        return await self._store.read_version(self._smallest_kind)

    async def record_store_version(self, version: int) -> None:
        """Records a version that the store issued a moment ago.

        If it is new, it can show that replicas have become current.
        """
        is_new = version > self._newest_version
        self._record_version(version)
        if is_new and not self._are_current:
            await self._check_replicas(version)

    async def read_changes(
        self, kind: str, since: int, version: int
    ) -> model.ObjectChanges:
        """Returns the changes after a version, without waiting for any.

        Args:
            kind: Kind of the objects.
            since: Version of the store after which changes are returned.
            version: Version that the store had. The changes are complete at
                least up to it.

        Raises:
            HistoryLostError: If the store no longer has these changes.
        """
        try:
            changes = await self._watch_now(
                kind, since, model.ReadConsistency.STALE
            )
            if changes.version < version:
                self._record_lag(changes.version, version)
                changes = await self._watch_now(
                    kind, since, model.ReadConsistency.LINEARIZABLE
                )
        except model.HistoryLostError:
            self._are_current = False
            raise
        self._record_version(changes.version)
        return changes

    async def _watch_now(
        self, kind: str, since: int, consistency: model.ReadConsistency
    ) -> model.ObjectChanges:
        return await self._store.watch(
            kind, since, 0.0, consistency=consistency
        )

    async def watch(
        self,
        kind: str,
        since: int,
        wait_s: float,
        on_start: Callable[[], None] = lambda: None,
    ) -> model.ObjectChanges:
        """Returns the changes after a version, waiting until there is one.

        Args:
            kind: Kind of the objects.
            since: Version of the store after which changes are returned.
            wait_s: Seconds after which the store responds without changes.
            on_start: Called when a response begins to arrive.

        Raises:
            HistoryLostError: If the store no longer has these changes.
        """
        try:
            if self._are_current:
                changes = await self._watch_replica(
                    kind, since, wait_s, on_start
                )
                if changes is not None:
                    return changes
            return await self._watch_store(kind, since, wait_s, on_start)
        except model.HistoryLostError:
            # Replicas of a store that lost its history catch up for seconds.
            self._are_current = False
            raise

    async def _watch_replica(
        self,
        kind: str,
        since: int,
        wait_s: float,
        on_start: Callable[[], None],
    ) -> model.ObjectChanges | None:
        """Returns the changes, None if the replica lags behind."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        known_version = self._newest_version
        changes = await self._store.watch(
            kind,
            since,
            wait_s,
            consistency=model.ReadConsistency.STALE,
            on_start=on_start,
        )
        is_known_long_enough = loop.time() - started_s >= _REPLICA_TOLERANCE_S
        if changes.version < known_version and is_known_long_enough:
            self._record_lag(changes.version, known_version)
            return None
        self._record_version(changes.version)
        return changes

    async def _watch_store(
        self,
        kind: str,
        since: int,
        wait_s: float,
        on_start: Callable[[], None],
    ) -> model.ObjectChanges:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        known_version = self._newest_version
        changes = await self._store.watch(
            kind,
            since,
            wait_s,
            consistency=model.ReadConsistency.LINEARIZABLE,
            on_start=on_start,
        )
        self._record_version(changes.version)
        is_new = changes.version > known_version
        # The version was issued after the watch began, unless the watch has
        # returned a change, which wakes it at once.
        is_recent = loop.time() - started_s <= self._max_lag_s
        has_changes = bool(changes.written or changes.removed)
        if is_new and (is_recent or has_changes) and not self._are_current:
            await self._check_replicas(changes.version)
        return changes

    async def _check_replicas(self, version: int) -> None:
        """Checks whether replicas have a version that was issued just now."""
        try:
            listed = await self._store.list_all(
                self._smallest_kind, consistency=model.ReadConsistency.STALE
            )
        except errors.DragonflydykeError as error:
            _LOGGER.info("replicas of the store not checked", code=error.code)
            return
        if listed.version >= version:
            self._are_current = True
            _LOGGER.info("replicas of the store are current", version=version)

    def _record_lag(self, version: int, known_version: int) -> None:
        if not self._are_current:
            return
        self._are_current = False
        _LOGGER.notice(
            "replicas of the store lag behind",
            version=version,
            known_version=known_version,
        )

    def _record_version(self, version: int) -> None:
        self._newest_version = max(self._newest_version, version)

    async def _read_version(self) -> int:
        now_s = asyncio.get_running_loop().time()
        if (
            self._version is None
            or now_s - self._read_at_s > _VERSION_MAX_AGE_S
        ):
            self._read_at_s = now_s
            self._version = asyncio.ensure_future(
                self._store.read_version(self._smallest_kind)
            )
        try:
            # Other watchers wait for the same read.
            return await asyncio.shield(self._version)
        except errors.DragonflydykeError:
            self._version = None
            raise
