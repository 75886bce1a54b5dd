"""Tests of a store that was restored from a copy and issues revisions again."""

import asyncio
import random

from dragonflydyke.forwarding import controller, rollouts
from dragonflydyke.objects import model as objects
from dragonflydyke.objects import watchers
from tests.builders import skipping_loop, store


class RestoredHistoryTest(store.StoreTestCase):
    """Guards against changes of a restored store that are never read.

    A watch from a revision of before the restore would skip all changes up to
    that revision, which the store issues again.
    """

    async def asyncSetUp(self) -> None:
        """Starts a watcher of servers."""
        await super().asyncSetUp()
        self.snapshots: list[watchers.KindSnapshot] = []
        gate = watchers.StoreRetryGate(
            random.Random(3),
            lambda: self.store.probe("rollouts"),
            watchers.WatchTiming(),
        )
        self.reader = watchers.ReplicaReader(self.store, "rollouts")
        self.watcher = watchers.KindWatcher(
            self.reader,
            "servers",
            lambda snapshot, gap: self.snapshots.append(snapshot),
            self.counters,
            gate,
            watchers.WatchTiming(),
        )
        await self.stub.put("servers", "a", {})

    async def watch(self) -> None:
        """Starts the watcher and waits for its first list."""
        self.addCleanup(asyncio.create_task(self.watcher.run()).cancel)
        await self.wait_for({"a"})

    async def wait_for(self, names: set[str]) -> None:
        """Waits until the newest snapshot has these names."""
        await skipping_loop.wait_until(
            lambda: self.snapshots and set(self.snapshots[-1].objects) == names
        )

    async def test_watch_does_not_continue_after_a_restore(self) -> None:
        """The store was away between two watches, so that none failed."""
        copy = self.stub.take_copy()
        await self.watch()
        for name in ("b", "c", "d"):
            await self.stub.put("servers", name, {})
        await self.wait_for({"a", "b", "c", "d"})
        # The watcher is in its coalescing delay.
        self.stub.restore(copy)
        for name in ("e", "f", "g", "h"):
            await self.stub.put("servers", name, {})
        async with asyncio.timeout(5.0):
            await self.wait_for({"a", "e", "f", "g", "h"})

    async def test_list_of_an_unrestored_replica_is_not_used(self) -> None:
        """Its revision is higher than that of the restored store."""
        copy = self.stub.take_copy()
        for name in ("b", "c", "d"):
            await self.stub.put("servers", name, {})
        self.stub.replica = self.stub.take_copy()
        self.stub.restore(copy)
        await self.stub.put("servers", "e", {})
        listed = await self.reader.list_all("servers")
        self.assertEqual({entry.name for entry in listed.objects}, {"a", "e"})

    async def test_versions_rise_with_a_restore(self) -> None:
        await self.stub.put("rollouts", "engines", {})
        copy = self.stub.take_copy()
        await self.stub.put("rollouts", "engines", {"target": "v2"})
        before = await self.store.read_version("rollouts")
        self.stub.restore(copy)
        after = await self.store.read_version("rollouts")
        self.assertGreater(after, before)
        self.assertEqual(self.counters.total("platform.restored"), 1)

    async def test_condition_of_before_a_restore_does_not_hold(self) -> None:
        """The store issues the revision again for another state."""
        spec = {"service": "engines", "target": "v2", "rampS": 24}
        copy = self.stub.take_copy()
        await self.stub.put("rollouts", "engines", spec)
        (entry,) = (
            await self.store.list_all(
                "rollouts", consistency=objects.ReadConsistency.LINEARIZABLE
            )
        ).objects
        self.stub.restore(copy)
        await self.stub.put("rollouts", "engines", spec | {"target": "v3"})
        await self.store.read_version("rollouts")
        order = rollouts.Order("engines", "v2", 24.0)
        with self.assertRaises(objects.ConflictError):
            await self.store.write_progress(
                controller.StoredRollout(entry, order, None),
                rollouts.Progress("v2", rollouts.Stage.ROLLED_BACK),
            )
        self.assertIsNone(self.stub.objects["rollouts"]["engines"]["status"])
