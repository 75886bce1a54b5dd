"""Tests of replicas of the store that lag behind it."""

import asyncio
import random

from dragonflydyke.objects import replicas, watchers
from tests.builders import skipping_loop, store

_APPLY_S = 2.0
_WAIT_S = 0.6


class StaleReplicaTest(store.StoreTestCase):
    """Guards against changes that a lagging replica withholds."""

    async def asyncSetUp(self) -> None:
        """Stores one object."""
        await super().asyncSetUp()
        self.names: set[str] = set()
        self.reader = replicas.ReplicaReader(self.store, "rollouts")
        await self.stub.put("config", "first", {})

    def record(self, snapshot: watchers.KindSnapshot, gap: bool) -> None:
        """Stores the names of the newest snapshot."""
        self.names = set(snapshot.objects)

    async def start_watcher(self) -> None:
        """Starts a watcher and waits for its first list."""
        timing = watchers.WatchTiming(3.0)
        gate = watchers.StoreRetryGate(
            random.Random(3), lambda: self.store.probe("rollouts"), timing
        )
        watcher = watchers.KindWatcher(
            self.reader, "config", self.record, self.counters, gate, timing
        )
        self.addCleanup(asyncio.create_task(watcher.run()).cancel)
        await skipping_loop.wait_until(lambda: self.names)

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
        changes = await self.reader.watch("config", version, _WAIT_S)
        self.assertEqual([entry.name for entry in changes.written], ["fourth"])
