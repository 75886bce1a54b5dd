"""Tests of a store that was restored from a copy and issues revisions again."""

import asyncio
import random

from dragonflydyke import metrics
from dragonflydyke.forwarding import controller, rollout_evidence, rollouts
from dragonflydyke.objects import model as objects
from dragonflydyke.objects import replicas, watchers
from tests.builders import (
    forwarding,
    shared_objects,
    skipping_loop,
    store,
    virtual_loop,
)

_DURATION_S = 60.0
_FAILED = rollout_evidence.AttemptCounts(attempts=1, failed=1)


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
        self.reader = replicas.ReplicaReader(self.store, "rollouts")
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


class RestoredRolloutTest(virtual_loop.VirtualTimeTestCase):
    """Guards against rollouts that end, or go back, with a restore."""

    async def asyncSetUp(self) -> None:
        """Starts a controller on a rollout whose canary is in force."""
        await super().asyncSetUp()
        self.order = rollouts.Order("engines", "v2", _DURATION_S)
        self.store = shared_objects.ConditionalRolloutStore(self.order)
        self.controller = controller.RolloutController(
            "vm1",
            self.store,
            metrics.Counters(),
            random.Random(3),
            rollouts.ExposureLimit(forwarding.EXPOSURE_SHARE, 30.0),
            count_nodes=lambda: rollouts.MAX_REPORTING_NODES + 1,
        )
        self.list_rollouts()
        self.addCleanup(asyncio.create_task(self.controller.run()).cancel)
        while self.store.stage is not rollouts.Stage.CANARY:
            await self.loop.advance(0.05)

    def list_rollouts(self) -> None:
        """Gives the controller what the store lists."""
        self.controller.update(
            self.store.list_all(), self.loop.time(), self.store.version
        )

    def record_failures(self, count: int) -> None:
        """Records failed attempts at two servers of the new version."""
        for number in range(count):
            server = forwarding.build_server_entry(
                f"new-{number % 2}", version="v2"
            )
            self.controller.record_attempts(server, "streams", _FAILED)

    def count_exposed(self) -> int:
        """Returns how many of 100 sessions use the new version."""
        rules = [
            self.controller.select_version_rule("engines", f"session {number}")
            for number in range(100)
        ]
        return sum(rule.preferred == "v2" for rule in rules)

    async def test_version_is_rolled_back_after_a_restore(self) -> None:
        """Each write conflicted with the lower revision until the end."""
        self.store.restore(rollouts.Progress("v2"))
        self.list_rollouts()
        self.record_failures(4)
        await self.loop.advance(4.0)
        self.assertIs(self.store.stage, rollouts.Stage.ROLLED_BACK)

    async def test_stage_lost_by_a_restore_is_written_again(self) -> None:
        """Sessions of the canary must not return to the old version."""
        exposed = self.count_exposed()
        self.assertGreater(exposed, 0)
        for progress in (rollouts.Progress("v2"), None):
            self.store.restore(progress)
            self.list_rollouts()
            self.assertEqual(self.count_exposed(), exposed)
            await self.loop.advance(1.5)
            self.assertIs(self.store.stage, rollouts.Stage.CANARY)

    async def test_rollback_lost_by_a_restore_is_written_again(self) -> None:
        """A version that was rolled back must not be used again."""
        before = self.store.progress
        self.record_failures(4)
        await self.loop.advance(4.0)
        self.assertIs(self.store.stage, rollouts.Stage.ROLLED_BACK)
        self.store.restore(before)
        self.list_rollouts()
        self.assertEqual(self.count_exposed(), 0)
        await self.loop.advance(1.5)
        self.assertIs(self.store.stage, rollouts.Stage.ROLLED_BACK)

    async def test_evidence_lost_by_a_restore_is_reported_again(self) -> None:
        """A report that was once written was taken for stored for good."""
        before = self.store.progress
        self.record_failures(1)
        await self.loop.advance(1.0)
        self.assertIn("vm1", self.store.progress.evidence)
        self.store.restore(before)
        self.list_rollouts()
        await self.loop.advance(1.0)
        self.assertIn("vm1", self.store.progress.evidence)

    async def test_order_lost_by_a_restore_is_kept_until_it_returns(
        self,
    ) -> None:
        """The operator writes it again; the canary must not begin anew."""
        exposed = self.count_exposed()
        self.store.restore(None)
        self.store.is_ordered = False
        self.list_rollouts()
        await self.loop.advance(2.0)
        self.assertEqual(self.count_exposed(), exposed)
        self.store.is_ordered = True
        self.list_rollouts()
        await self.loop.advance(1.5)
        self.assertIs(self.store.stage, rollouts.Stage.CANARY)

    async def test_order_that_does_not_return_is_dropped(self) -> None:
        self.store.restore(None)
        self.store.is_ordered = False
        self.list_rollouts()
        await self.loop.advance(controller.ORDER_RETURN_S + 1.0)
        self.assertEqual(self.count_exposed(), 0)

    async def test_removed_order_is_dropped_at_once(self) -> None:
        self.store.is_ordered = False
        self.list_rollouts()
        self.assertEqual(self.count_exposed(), 0)
