"""Tests of billing without random faults."""

import asyncio
import json

import hypothesis
from hypothesis import strategies

from dragonflydyke import errors, metrics
from dragonflydyke.billing import (
    derive_bill_id,
    journal,
    ledger,
    model,
    sequences,
    writer,
)
from dragonflydyke.protocol import node_pb2
from tests.builders import bills, faulty_objects, virtual_loop

_MANY_NODES = 100  # Flush interval 0.5 s, so that copies are sent at once.

_attempts = strategies.builds(
    model.BillAttempt,
    version=strategies.text(),
    backend_server=strategies.text(),
    outcome=strategies.sampled_from(["completed", "failed"]),
    cost=strategies.integers(0, 2**64 - 1),
)
_bills = strategies.builds(
    model.Bill,
    prompt_tokens=strategies.integers(0, 2**32 - 1),
    completion_tokens=strategies.integers(0, 2**32 - 1),
    cost=strategies.integers(0, 2**64 - 1),
    attempts=strategies.lists(_attempts, max_size=3).map(tuple),
    revision=strategies.integers(0, 2**64 - 1),
    finished_at_ms=strategies.integers(0, 2**64 - 1),
    incarnation=strategies.integers(0, 2**64 - 1),
    sequence=strategies.integers(0, 2**64 - 1),
)


class ModelTest(virtual_loop.unittest.TestCase):
    """Guards against fields that are lost between nodes or in the ledger."""

    @hypothesis.given(bill=_bills)
    def test_round_trips(self, bill: model.Bill) -> None:
        stored = json.loads(json.dumps(bill.to_mapping()))
        self.assertEqual(model.parse_bill(stored, bill.incarnation), bill)
        sent = bill.to_message().SerializeToString()
        received = node_pb2.Bill.FromString(sent)
        self.assertEqual(model.parse_message(received), bill)

    @hypothesis.given(numbers=strategies.lists(strategies.integers(0, 30)))
    def test_sequence_set_is_a_set(self, numbers: list[int]) -> None:
        tested = sequences.SequenceSet()
        for number in numbers:
            tested.add(number)
        expected = set(numbers)
        self.assertEqual({n for n in range(32) if n in tested}, expected)
        self.assertEqual(tested.end, max(expected, default=-1) + 1)
        self.assertNotIn(tested.complete_below, expected)

    def test_bill_id_depends_on_both_parts(self) -> None:
        ids = {
            derive_bill_id(account, key)
            for account, key in (("a", "bc"), ("ab", "c"), ("a", "b"))
        }
        self.assertEqual(len(ids), 3)
        self.assertEqual(derive_bill_id("a", "bc"), derive_bill_id("a", "bc"))


class _BillingTestCase(virtual_loop.VirtualTimeTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.platform = faulty_objects.Platform()

    def record(
        self, router: bills.Router, count: int = 1, first: int = 0
    ) -> list[asyncio.Task[writer.Safety]]:
        """Starts to record bills with consecutive numbers."""
        return [
            asyncio.create_task(router.writer.record(bills.build_bill(number)))
            for number in range(first, first + count)
        ]

    async def read_ids(self) -> list[int]:
        """Returns the numbers of the bills in the statement."""
        reader = ledger.LedgerReader(self.platform)
        return [
            int(bill.bill_id, 16)
            for statement in await reader.read()
            for bill in statement.bills
        ]


class JournalTest(_BillingTestCase):
    """Guards against bills that are twice in a journal, or not at all."""

    def _build(self, *, is_new: bool = False) -> journal.Journal:
        return journal.Journal(
            self.platform, 7, metrics.Counters(), is_new=is_new
        )

    def _bills(self, numbers: range | tuple[int, ...]) -> list[model.Bill]:
        built = [bills.build_bill(number) for number in numbers]
        for bill in built:
            bill.incarnation, bill.sequence = 7, int(bill.bill_id, 16)
        return built

    async def test_appenders_exclude_each_others_bills(self) -> None:
        origin = self._build(is_new=True)
        for end in range(1, 20):
            await origin.append_once(self._bills(range(end)))
        late = self._build()
        await late.append_once(self._bills((18, 19, 22)))
        await origin.append_once(self._bills(range(24)))
        self.assertIn(22, origin)
        await origin.append_once(self._bills(range(24)))
        report = await ledger.LedgerReader(self.platform).check([7])
        self.assertEqual(report.bills, 24)
        self.assertEqual(report.problems, ())

    async def test_reads_little_of_a_long_journal(self) -> None:
        origin = self._build(is_new=True)
        for end in range(1, 500):
            await origin.append_once(self._bills((end - 1,)))
        reads = self.platform.reads
        await self._build().append_once(self._bills((498, 499)))
        self.assertLess(self.platform.reads - reads, 30)

    async def test_entries_are_split(self) -> None:
        target = self._build(is_new=True)
        large = self._bills(range(40))
        for bill in large:
            bill.request_class = "x" * 50_000
        while not all(bill.sequence in target for bill in large):
            await target.append_once(large)
        sizes = [
            len(json.dumps(stored.value))
            for stored in self.platform.store.list("ledger").objects
        ]
        self.assertGreater(len(sizes), 3)
        self.assertLess(max(sizes), 600_000)

    async def test_duplicate_sequence_is_a_fault(self) -> None:
        await self._build(is_new=True).append_once(self._bills((0,)))
        first = self.platform.store.get("ledger", f"{7:016x}.0")
        target = self._build()
        await target.append_once(self._bills((0,)))
        await self.platform.create("ledger", f"{7:016x}.1", first.value)
        with self.assertRaises(errors.InvariantError):
            await target.append_once(self._bills((1,)))
        report = await ledger.LedgerReader(self.platform).check()
        self.assertEqual(report.problems[0].duplicate_sequences, (0,))


class BillWriterTest(_BillingTestCase):
    """Guards against bills that are lost, or released before they are safe."""

    async def test_written_without_copies_when_the_platform_is_fast(
        self,
    ) -> None:
        fleet = bills.build_fleet(self.platform, 4)
        tasks = self.record(fleet[0], 50)
        await self.loop.advance(0.1, 0.01)
        self.assertTrue(all(t.result().value == "written" for t in tasks))
        self.assertEqual(self.platform.writes, 1)
        self.assertEqual(fleet[0].counters.total("bill.copies.held"), 0)

    async def test_held_in_other_data_centres_until_written(self) -> None:
        fleet = bills.build_fleet(self.platform, 6, node_count=_MANY_NODES)
        fleet[1].lose_replies = 1
        # The first bill is written at once; the others wait for the interval.
        first = self.record(fleet[0])[0]
        await self.loop.advance(0.02, 0.01)
        self.assertEqual(first.result().value, "written")
        tasks = self.record(fleet[0], 5, first=1)
        await self.loop.advance(0.1, 0.01)
        self.assertTrue(all(t.result().value == "held" for t in tasks))
        self.assertEqual(fleet[3].holder.held(), 0)
        self.assertGreaterEqual(sum(r.holder.held() for r in fleet), 10)
        await self.loop.advance(3.0)
        self.assertEqual(await self.read_ids(), list(range(6)))
        self.assertEqual([r.holder.held() for r in fleet], [0] * 6)

    async def test_pace_of_writes(self) -> None:
        """Guards against writes that exceed the budget of the platform."""
        fleet = bills.build_fleet(self.platform, 1, node_count=_MANY_NODES)
        before = self.platform.writes
        for number in range(100):
            self.record(fleet[0], first=number)
            await self.loop.advance(0.05, 0.01)
        # One write per 0.5 s in 5 s, and the one at the start.
        self.assertLessEqual(self.platform.writes - before, 11)
        self.assertEqual(
            len(await self.read_ids()), 100 - fleet[0].writer.pending()
        )

    async def test_lost_answers(self) -> None:
        fleet = bills.build_fleet(self.platform, 1)
        self.platform.lose_answers = 3
        for second in range(5):
            self.record(fleet[0], 2, 2 * second)
            await self.loop.advance(1.0)
        self.assertEqual(await self.read_ids(), list(range(10)))

    async def test_outage_of_minutes(self) -> None:
        fleet = bills.build_fleet(self.platform, 4)
        alone = bills.build_fleet(self.platform, 1, seed=1)[0]
        self.platform.available = False
        tasks = []
        for second in range(180):
            tasks += self.record(fleet[0], 1, second)
            tasks += self.record(alone, 1, 1_000 + second)
            await self.loop.advance(1.0)
        await self.loop.advance(3.0)
        results = [task.result() for task in tasks]
        self.assertEqual(set(results[::2]), {writer.Safety.HELD})
        self.assertEqual(set(results[1::2]), {writer.Safety.HELD_ALONE})
        self.assertEqual(alone.counters.total("bill.held_alone"), 180)
        self.platform.available = True
        await self.loop.advance(20.0)
        self.assertEqual(len(set(await self.read_ids())), 360)
        self.assertEqual(fleet[0].writer.pending(), 0)

    async def test_copies_move_when_a_holder_restarts(self) -> None:
        fleet = bills.build_fleet(self.platform, 4)
        self.platform.available = False
        self.record(fleet[0], 3)
        await self.loop.advance(2.0)
        holder = next(r for r in fleet if r.holder.held())
        await holder.crash()
        await self.loop.advance(20.0)
        held = [r.holder.held() for r in fleet if r.is_reachable]
        self.assertEqual(sorted(held), [0, 3, 3])

    async def test_full_holder_refuses(self) -> None:
        fleet = bills.build_fleet(self.platform, 2, node_count=_MANY_NODES)
        fleet.append(
            bills.Router(fleet[1].platform, fleet, 2, node_count=1, max_bills=2)
        )
        self.platform.available = False
        tasks = self.record(fleet[0], 3)
        await self.loop.advance(3.0)
        self.assertEqual(tasks[0].result(), writer.Safety.HELD_ALONE)
        refused = fleet[2].counters.total("bill.holder.refused")
        self.assertGreaterEqual(refused, 3)
        self.assertEqual(fleet[2].holder.held(), 0)

    async def test_flush_all_says_where_bills_are(self) -> None:
        for available, count, expected in (
            (True, 3, writer.Safety.WRITTEN),
            (False, 3, writer.Safety.HELD),
            (False, 1, writer.Safety.HELD_ALONE),
        ):
            with self.subTest(expected=expected):
                self.platform.available = available
                router = bills.build_fleet(
                    self.platform, count, node_count=_MANY_NODES, seed=count
                )[0]
                self.record(router, 3)
                await virtual_loop.run_ready_tasks()
                task = asyncio.create_task(router.writer.flush_all(5.0))
                await self.loop.advance(5.1)
                result = task.result()
                self.assertEqual(result.safety, expected)
                unwritten = 0 if available else 3
                self.assertEqual(result.unwritten, unwritten)
        self.platform.available = True
        report = await ledger.LedgerReader(self.platform).check()
        self.assertEqual(report.problems, ())


class RecoveryTest(_BillingTestCase):
    """Guards against bills lost or doubled when their origin dies or pauses."""

    async def test_crash_at_every_point(self) -> None:
        for survivors in (1, 2):
            for step in range(70):
                with self.subTest(survivors=survivors, step=step):
                    await self._crash_at(0.01 * step, survivors)

    async def _crash_at(self, at_s: float, survivors: int) -> None:
        self.platform = faulty_objects.Platform()
        self.platform.latency_s = 0.03
        fleet = bills.build_fleet(self.platform, 3, node_count=_MANY_NODES)
        origin = fleet[0]
        tasks = self.record(origin, 2)
        await self.loop.advance(at_s / 2, 0.01)
        tasks += self.record(origin, 2, 2)
        await self.loop.advance(at_s / 2, 0.01)
        safe = [n for n, task in enumerate(tasks) if task.done()]
        for task in tasks:
            task.cancel()
        await origin.crash()
        if survivors == 1:
            await fleet[2].crash()
        recoveries = [
            asyncio.create_task(router.holder.recover(origin.incarnation))
            for router in fleet[1 : 1 + survivors]
        ]
        await self.loop.advance(10.0, 0.1)
        self.assertTrue(all(task.done() for task in recoveries))
        ids = await self.read_ids()
        self.assertLessEqual(set(safe), set(ids))
        report = await ledger.LedgerReader(self.platform).check()
        self.assertEqual(report.bills, len(ids))

    async def test_paused_origin_wakes_after_its_recovery(self) -> None:
        fleet = bills.build_fleet(self.platform, 3, node_count=_MANY_NODES)
        self.platform.latency_s = 0.01
        self.record(fleet[0], 3)
        await self.loop.advance(0.3, 0.01)
        fleet[0].platform.running.clear()
        await self.loop.advance(10.0)
        for router in fleet[1:]:
            await self._finish(router.holder.recover(fleet[0].incarnation))
            self.assertEqual(router.holder.held(), 0)
        fleet[0].platform.running.set()
        self.record(fleet[0], 3, 3)
        await self.loop.advance(5.0)
        self.assertEqual(await self.read_ids(), list(range(6)))
        report = await ledger.LedgerReader(self.platform).check(
            [fleet[0].incarnation]
        )
        self.assertEqual((report.bills, report.problems), (6, ()))

    async def test_recovery_waits_for_the_platform(self) -> None:
        fleet = bills.build_fleet(self.platform, 3)
        self.platform.available = False
        self.record(fleet[0], 3)
        await self.loop.advance(2.0)
        await fleet[0].crash()
        origin = fleet[0].incarnation
        task = asyncio.create_task(fleet[1].holder.recover(origin))
        await self.loop.advance(120.0)
        self.assertFalse(task.done())
        self.platform.available = True
        await self.loop.advance(15.0)
        self.assertEqual(task.result(), 3)
        report = await ledger.LedgerReader(self.platform).check()
        self.assertTrue(report.problems[0].end_missing)

    async def test_copies_are_written_before_a_planned_stop(self) -> None:
        # Guards against both holders of a dead router that stop as planned.
        fleet = bills.build_fleet(self.platform, 3)
        self.platform.available = False
        self.record(fleet[0], 3)
        await self.loop.advance(2.0)
        await fleet[0].crash()
        holder = fleet[1].holder
        task = asyncio.create_task(holder.recover_all(30.0))
        await self.loop.advance(31.0)
        self.assertEqual(task.result(), 3)
        self.platform.available = True
        task = asyncio.create_task(holder.recover_all(30.0))
        await self.loop.advance(31.0)
        self.assertEqual(task.result(), 0)
        self.assertEqual(await self.read_ids(), list(range(3)))

    async def _finish(self, work: asyncio.Future[int]) -> None:
        task = asyncio.ensure_future(work)
        await self.loop.advance(10.0)
        self.assertTrue(task.done())


class LedgerTest(_BillingTestCase):
    """Guards against repeated charges and losses that no check shows."""

    async def test_statement_counts_a_bill_id_once(self) -> None:
        fleet = bills.build_fleet(self.platform, 2)
        later = bills.build_bill(5)
        later.finished_at_ms += 10
        for router, bill in ((fleet[0], later), (fleet[1], None)):
            asyncio.create_task(
                router.writer.record(bill or bills.build_bill(5))
            )
            await self.loop.advance(1.0)
        reader = ledger.LedgerReader(self.platform)
        (statement,) = await reader.read("cartago-packing")
        self.assertEqual(statement.cost, 245)
        self.assertEqual(statement.bills[0].incarnation, fleet[1].incarnation)
        self.assertEqual(len(statement.repeated), 1)
        self.assertEqual(await reader.read("other"), [])

    async def test_check_finds_gaps(self) -> None:
        mapping = bills.build_bill(2).to_mapping() | {"sequence": 2}
        await self.platform.create(
            "ledger", f"{9:016x}.1", {"bills": [mapping], "closed_at": 3}
        )
        report = await ledger.LedgerReader(self.platform).check()
        self.assertEqual(
            report.problems, (ledger.JournalProblem(9, (0,), (0, 1)),)
        )
