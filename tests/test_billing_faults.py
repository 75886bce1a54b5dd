"""Randomised fault-injection test of billing.

The seed can be set with DRAGONFLYDYKE_SEED.
"""

import asyncio
import random
from collections.abc import Coroutine

from dragonflydyke.billing import ledger, writer
from tests.builders import bills, faulty_objects, virtual_loop

_DURATION_S = 60
_RUNS = 4
_FREEZE_S = 14
_ORIGIN_TIMEOUT_S = 10


class RandomFaultsTest(virtual_loop.VirtualTimeTestCase):
    """Guards against faults that lose or duplicate a durable bill.

    At most two routers crash in each run, because a bill can be lost if its
    origin and both replicas fail before it is written.
    """

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.durable: list[int] = []
        self.recorded = 0
        self.unreachable_since: dict[int, int] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    async def test_durable_bills_are_stored_exactly_once(self) -> None:
        seed = faulty_objects.read_seed()
        for run in range(_RUNS):
            self.durable.clear()
            self.unreachable_since.clear()
            # A short flush interval without replication, and a long one at
            # which bills are replicated at once.
            node_count = (4, 100)[run % 2]
            await self._run(seed + run, node_count)

    async def _run(self, seed: int, node_count: int) -> None:
        self.random = random.Random(seed)
        self.platform = faulty_objects.SharedPlatform()
        self.platform.latency_s = 0.02
        self.fleet = bills.build_fleet(
            self.platform, 7, node_count=node_count, seed=seed
        )
        crashes = sorted(self.random.sample(range(5, _DURATION_S), 2))
        for second in range(_DURATION_S):
            await self._inject_faults(second, second in crashes)
            await self._advance_second(second)
        self.platform.available = True
        self.platform.lost_response_share = 0.0
        for router in self.fleet:
            router.platform.running.set()
            router.lose_replies = 0
        for second in range(_DURATION_S, _DURATION_S + 45):
            await self._advance_second(second, bills_per_router=0)
        await self._check(f"DRAGONFLYDYKE_SEED={seed}")

    async def _inject_faults(self, second: int, crash: bool) -> None:
        chance = self.random.random
        self.platform.available = self.platform.available ^ (chance() < 0.15)
        self.platform.lost_response_share = self.random.choice((0.0, 0.3, 0.8))
        router = self.random.choice(self.fleet)
        router.lose_replies = self.random.randrange(3)
        if not router.is_reachable:
            return
        if crash:
            await router.crash()
            self.unreachable_since[router.incarnation] = second
        elif router.platform.running.is_set() and chance() < 0.2:
            router.platform.running.clear()
            self.unreachable_since[router.incarnation] = second
            self.loop.call_later(_FREEZE_S, self._resume, router)

    def _resume(self, router: bills.Router) -> None:
        if router.is_reachable:
            router.platform.running.set()
            self.unreachable_since.pop(router.incarnation, None)

    async def _advance_second(
        self, second: int, bills_per_router: int = 3
    ) -> None:
        for router in self.fleet:
            if not router.is_reachable:
                continue
            for origin in router.replica_store.origins():
                since = self.unreachable_since.get(origin, second)
                if second - since >= _ORIGIN_TIMEOUT_S:
                    self._start(router.replica_store.recover(origin))
            for _ in range(self.random.randrange(bills_per_router + 1)):
                self._start(self._record(router))
        await self.loop.advance(1.0)

    async def _record(self, router: bills.Router) -> None:
        number = self.recorded
        self.recorded += 1
        await asyncio.sleep(self.random.random())
        if not router.is_reachable:
            return
        durability = await router.writer.record(bills.build_bill(number))
        if (
            durability is not writer.Durability.LOCAL_ONLY
            and router.is_reachable
        ):
            self.durable.append(number)

    def _start(self, work: Coroutine) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _check(self, seed: str) -> None:
        reader = ledger.LedgerReader(self.platform)
        statements = await reader.read()
        stored = [int(b.bill_id, 16) for s in statements for b in s.bills]
        self.assertGreater(len(self.durable), 200, seed)
        self.assertEqual(set(self.durable) - set(stored), set(), seed)
        self.assertEqual([b for s in statements for b in s.repeated], [], seed)
        report = await reader.check()
        duplicates = [p for p in report.problems if p.duplicate_sequences]
        self.assertEqual(duplicates, [], seed)
        for router in self.fleet:
            self.assertEqual(router.counters.total("bill.flush_fault"), 0)
            if router.is_reachable:
                self.assertEqual(router.writer.pending_count(), 0, seed)
        for task in tuple(self.tasks):
            task.cancel()
