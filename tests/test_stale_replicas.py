"""Tests of replicas of the store that lag behind it."""

import asyncio

from dragonflydyke.objects import watchers
from tests.builders import skipping_loop, store, watched_kinds

_APPLY_S = 2.0
_CONTACT_S = 3.0
_WAIT_S = 0.6


class StaleReplicaTest(store.StoreTestCase):
    """Guards against changes that a lagging replica withholds."""

    async def asyncSetUp(self) -> None:
        """Stores one object."""
        await super().asyncSetUp()
        await self.stub.put("config", "first", {})

    async def start_watcher(self) -> None:
        """Starts the watchers and waits for the first list."""
        self.watched = watched_kinds.WatchedKinds(
            self.store,
            self.counters,
            watchers.WatchTiming(_CONTACT_S),
            _APPLY_S,
        )
        self.watched.start(self.addCleanup)
        await skipping_loop.wait_until(lambda: "config" in self.watched.names)

    @property
    def names(self) -> set[str]:
        """Names of the objects of the kind."""
        return self.watched.names["config"]

    async def test_node_that_starts_beside_lagging_replicas_sees_a_change(
        self,
    ) -> None:
        """Nothing had changed for as long as the replicas lagged."""
        self.stub.stuck_revision = self.stub.revision
        await self.start_watcher()
        await self.stub.put("config", "second", {})
        async with asyncio.timeout(_APPLY_S):
            await skipping_loop.wait_until(lambda: "second" in self.names)

    async def test_watch_that_reports_an_older_version_is_repeated(
        self,
    ) -> None:
        """Only one of several replicas lags behind."""
        await self.start_watcher()
        for name in ("second", "third"):
            await self.stub.put("config", name, {})
            await skipping_loop.wait_until(lambda n=name: n in self.names)
        self.stub.stuck_revision = self.stub.revision - 1
        version = await self.store.read_version("rollouts")
        await self.stub.put("config", "fourth", {})
        changes = await self.watched.reader.watch("config", version, _WAIT_S)
        self.assertEqual([entry.name for entry in changes.written], ["fourth"])
