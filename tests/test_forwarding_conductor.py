"""Tests of how a node carries roll-outs forward through the store."""

import asyncio
import random

from dragonflydyke import metrics
from dragonflydyke.forwarding import conductor, rollouts
from tests.builders import forwarding, virtual_loop

_VM = "vm1"
_DURATION_S = 16.0
_IMPAIRED = rollouts.AttemptCounts(attempts=1, impaired=1)


class ConductorTest(virtual_loop.VirtualTimeTestCase):
    """Guards against evidence that never reaches the other nodes."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.store = forwarding.RecordingRolloutStore()
        self.conductor = conductor.Conductor(
            _VM, self.store, metrics.Counters(), random.Random(3)
        )
        order = rollouts.Order("engines", "v2", _DURATION_S)
        self.conductor.update(
            [forwarding.build_stored_rollout(order)], self.loop.time()
        )
        task = asyncio.create_task(self.conductor.run())
        self.addCleanup(task.cancel)
        self.member = forwarding.build_member("new", version="v2")

    @property
    def reported_impaired(self) -> int:
        """Impaired attempts of this node that the store knows."""
        routes = self.store.progress.evidence.get(_VM, {})
        return rollouts.sum_new(routes).impaired

    async def advance_to(self, stage: rollouts.Stage) -> None:
        """Moves time on until the store has a stage."""
        while self.store.progress.stage is not stage:
            await self.loop.advance(0.05)

    async def test_stage_is_written_with_the_evidence_held_back(self) -> None:
        """A write of a stage marked evidence as known that it did not hold."""
        await self.loop.advance(1.0)
        await self.advance_to(rollouts.Stage.CANARY)
        end_s = _DURATION_S - 1.5
        while self.store.age_s < end_s - 0.5:
            await self.loop.advance(0.05)
        self.conductor.count(self.member, "streams", _IMPAIRED)
        await self.loop.advance(0.3)
        self.assertEqual(self.reported_impaired, 1)
        # Within the time for which impaired attempts are held back.
        self.conductor.count(self.member, "streams", _IMPAIRED)
        await self.advance_to(rollouts.Stage.FULL)
        await self.loop.advance(0.2)
        self.assertEqual(self.reported_impaired, 2)

    async def test_failures_are_reported_at_once(self) -> None:
        await self.advance_to(rollouts.Stage.CANARY)
        failed = rollouts.AttemptCounts(attempts=1, failed=1)
        self.conductor.count(self.member, "streams", failed)
        await self.loop.advance(0.3)
        routes = self.store.progress.evidence[_VM]
        self.assertEqual(rollouts.sum_new(routes).failed, 1)
