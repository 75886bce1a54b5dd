"""Tests of billing without randomised faults."""

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

_MANY_NODES = 100  # Flush interval of 0.5 s, so bills are replicated at once.

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
    """Guards against fields lost in serialisation, and colliding bill_ids."""

    @hypothesis.given(bill=_bills)
    def test_serialisation_round_trips(self, bill: model.Bill) -> None:
        stored = json.loads(json.dumps(bill.to_mapping()))
        self.assertEqual(model.parse_bill(stored, bill.incarnation), bill)
        sent = bill.to_message().SerializeToString()
        received = node_pb2.Bill.FromString(sent)
        self.assertEqual(model.parse_message(received), bill)

    @hypothesis.given(numbers=strategies.lists(strategies.integers(0, 30)))
    def test_sequence_set_behaves_like_a_set(self, numbers: list[int]) -> None:
        sequence_set = sequences.SequenceSet()
        for number in numbers:
            sequence_set.add(number)
        expected = set(numbers)
        self.assertEqual({n for n in range(32) if n in sequence_set}, expected)
        self.assertEqual(sequence_set.end, max(expected, default=-1) + 1)
        self.assertNotIn(sequence_set.complete_below, expected)

    def test_bill_id_depends_on_account_and_key(self) -> None:
        ids = {
            derive_bill_id(account, key)
            for account, key in (("a", "bc"), ("ab", "c"), ("a", "b"))
        }
        self.assertEqual(len(ids), 3)
        self.assertEqual(derive_bill_id("a", "bc"), derive_bill_id("a", "bc"))


class _BillingTestCase(virtual_loop.VirtualTimeTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.platform = faulty_objects.SharedPlatform()

    def record(
        self, router: bills.Router, count: int = 1, first: int = 0
    ) -> list[asyncio.Task[writer.Durability]]:
        """Starts recording bills with consecutive numbers."""
        return [
            asyncio.create_task(router.writer.record(bills.build_bill(number)))
            for number in range(first, first + count)
        ]

    async def read_ids(self) -> list[int]:
        """Returns the numbers of all charged bills."""
        reader = ledger.LedgerReader(self.platform)
        return [
            int(bill.bill_id, 16)
            for statement in await reader.read()
            for bill in statement.bills
        ]


class JournalTest(_BillingTestCase):
    """Guards against bills that are duplicated in a journal or missing."""

    def _build_journal(self, *, is_new: bool = False) -> journal.Journal:
        return journal.Journal(
            self.platform, 7, metrics.Counters(), is_new=is_new
        )

    def _build_bills(
        self, numbers: range | tuple[int, ...]
    ) -> list[model.Bill]:
        built = [bills.build_bill(number) for number in numbers]
        for bill in built:
            bill.incarnation, bill.sequence = 7, int(bill.bill_id, 16)
        return built

    async def test_alternating_appenders_write_each_bill_once(self) -> None:
        origin = self._build_journal(is_new=True)
        for end in range(1, 20):
            await origin.append_missing(self._build_bills(range(end)))
        other = self._build_journal()
        await other.append_missing(self._build_bills((18, 19, 22)))
        await origin.append_missing(self._build_bills(range(24)))
        self.assertIn(22, origin)
        await origin.append_missing(self._build_bills(range(24)))
        report = await ledger.LedgerReader(self.platform).check([7])
        self.assertEqual(report.bills, 24)
        self.assertEqual(report.problems, ())

    async def test_long_journal_needs_few_reads(self) -> None:
        origin = self._build_journal(is_new=True)
        for end in range(1, 500):
            await origin.append_missing(self._build_bills((end - 1,)))
        reads = self.platform.reads
        await self._build_journal().append_missing(
            self._build_bills((498, 499))
        )
        self.assertLess(self.platform.reads - reads, 30)

    async def test_large_entries_are_split(self) -> None:
        origin_journal = self._build_journal(is_new=True)
        large = self._build_bills(range(40))
        for bill in large:
            bill.request_class = "x" * 50_000
        while not all(bill.sequence in origin_journal for bill in large):
            await origin_journal.append_missing(large)
        sizes = [
            len(json.dumps(stored.value))
            for stored in self.platform.store.list("ledger").objects
        ]
        self.assertGreater(len(sizes), 3)
        self.assertLess(max(sizes), 600_000)

    async def test_duplicate_sequence_is_detected(self) -> None:
        await self._build_journal(is_new=True).append_missing(
            self._build_bills((0,))
        )
        first = self.platform.store.get("ledger", f"{7:016x}.0")
        origin_journal = self._build_journal()
        await origin_journal.append_missing(self._build_bills((0,)))
        await self.platform.create("ledger", f"{7:016x}.1", first.value)
        with self.assertRaises(errors.InvariantError):
            await origin_journal.append_missing(self._build_bills((1,)))
        report = await ledger.LedgerReader(self.platform).check()
        self.assertEqual(report.problems[0].duplicate_sequences, (0,))


class BillWriterTest(_BillingTestCase):
    """Guards against bills that are lost, or reported durable too early."""

    async def test_no_replication_while_the_platform_is_fast(
        self,
    ) -> None:
        fleet = bills.build_fleet(self.platform, 4)
        tasks = self.record(fleet[0], 50)
        await self.loop.advance(0.1, 0.01)
        self.assertTrue(all(t.result().value == "written" for t in tasks))
        self.assertEqual(self.platform.writes, 1)
        self.assertEqual(fleet[0].counters.total("bill.copies.held"), 0)

    async def test_replicated_in_other_data_centres_until_written(self) -> None:
        fleet = bills.build_fleet(self.platform, 6, node_count=_MANY_NODES)
        fleet[1].lose_replies = 1
        # The first bill is written at once; the others wait for the flush
        # interval.
        first = self.record(fleet[0])[0]
        await self.loop.advance(0.02, 0.01)
        self.assertEqual(first.result().value, "written")
        tasks = self.record(fleet[0], 5, first=1)
        await self.loop.advance(0.1, 0.01)
        self.assertTrue(all(t.result().value == "held" for t in tasks))
        self.assertEqual(fleet[3].replica_store.replica_count(), 0)
        self.assertGreaterEqual(
            sum(r.replica_store.replica_count() for r in fleet), 10
        )
        await self.loop.advance(3.0)
        self.assertEqual(await self.read_ids(), list(range(6)))
        self.assertEqual(
            [r.replica_store.replica_count() for r in fleet], [0] * 6
        )

    async def test_rate_of_writes_stays_within_budget(self) -> None:
        """Guards against writes that exceed the write budget of the fleet."""
        fleet = bills.build_fleet(self.platform, 1, node_count=_MANY_NODES)
        before = self.platform.writes
        for number in range(100):
            self.record(fleet[0], first=number)
            await self.loop.advance(0.05, 0.01)
        # One write per 0.5 s during 5 s, and the write at the start.
        self.assertLessEqual(self.platform.writes - before, 11)
        self.assertEqual(
            len(await self.read_ids()), 100 - fleet[0].writer.pending_count()
        )

    async def test_lost_responses_do_not_duplicate_bills(self) -> None:
        fleet = bills.build_fleet(self.platform, 1)
        self.platform.responses_to_lose = 3
        for second in range(5):
            self.record(fleet[0], 2, 2 * second)
            await self.loop.advance(1.0)
        self.assertEqual(await self.read_ids(), list(range(10)))

    async def test_platform_outage_of_minutes(self) -> None:
        fleet = bills.build_fleet(self.platform, 4)
        isolated = bills.build_fleet(self.platform, 1, seed=1)[0]
        self.platform.available = False
        tasks = []
        for second in range(180):
            tasks += self.record(fleet[0], 1, second)
            tasks += self.record(isolated, 1, 1_000 + second)
            await self.loop.advance(1.0)
        await self.loop.advance(3.0)
        results = [task.result() for task in tasks]
        self.assertEqual(set(results[::2]), {writer.Durability.REPLICATED})
        self.assertEqual(set(results[1::2]), {writer.Durability.LOCAL_ONLY})
        self.assertEqual(isolated.counters.total("bill.held_alone"), 180)
        self.platform.available = True
        await self.loop.advance(20.0)
        self.assertEqual(len(set(await self.read_ids())), 360)
        self.assertEqual(fleet[0].writer.pending_count(), 0)

    async def test_bills_are_replicated_again_when_a_replica_is_lost(
        self,
    ) -> None:
        fleet = bills.build_fleet(self.platform, 4)
        self.platform.available = False
        self.record(fleet[0], 3)
        await self.loop.advance(2.0)
        replica = next(r for r in fleet if r.replica_store.replica_count())
        await replica.crash()
        await self.loop.advance(20.0)
        replica_counts = [
            r.replica_store.replica_count() for r in fleet if r.is_reachable
        ]
        self.assertEqual(sorted(replica_counts), [0, 3, 3])

    async def test_full_replica_store_rejects_bills(self) -> None:
        fleet = bills.build_fleet(self.platform, 2, node_count=_MANY_NODES)
        fleet.append(
            bills.Router(
                fleet[1].platform, fleet, 2, node_count=1, max_replicas=2
            )
        )
        self.platform.available = False
        tasks = self.record(fleet[0], 3)
        await self.loop.advance(3.0)
        self.assertEqual(tasks[0].result(), writer.Durability.LOCAL_ONLY)
        rejected = fleet[2].counters.total("bill.holder.refused")
        self.assertGreaterEqual(rejected, 3)
        self.assertEqual(fleet[2].replica_store.replica_count(), 0)

    async def test_flush_all_reports_durability(self) -> None:
        for available, count, expected in (
            (True, 3, writer.Durability.WRITTEN),
            (False, 3, writer.Durability.REPLICATED),
            (False, 1, writer.Durability.LOCAL_ONLY),
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
                self.assertEqual(result.durability, expected)
                unwritten = 0 if available else 3
                self.assertEqual(result.unwritten, unwritten)
        self.platform.available = True
        report = await ledger.LedgerReader(self.platform).check()
        self.assertEqual(report.problems, ())


class RecoveryTest(_BillingTestCase):
    """Guards against loss and duplication when an origin fails or freezes."""

    async def test_origin_crash_at_every_point_in_time(self) -> None:
        for survivors in (1, 2):
            for step in range(70):
                with self.subTest(survivors=survivors, step=step):
                    await self._check_crash_at(0.01 * step, survivors)

    async def _check_crash_at(self, at_s: float, survivors: int) -> None:
        self.platform = faulty_objects.SharedPlatform()
        self.platform.latency_s = 0.03
        fleet = bills.build_fleet(self.platform, 3, node_count=_MANY_NODES)
        origin = fleet[0]
        tasks = self.record(origin, 2)
        await self.loop.advance(at_s / 2, 0.01)
        tasks += self.record(origin, 2, 2)
        await self.loop.advance(at_s / 2, 0.01)
        durable = [n for n, task in enumerate(tasks) if task.done()]
        for task in tasks:
            task.cancel()
        await origin.crash()
        if survivors == 1:
            await fleet[2].crash()
        recoveries = [
            asyncio.create_task(
                router.replica_store.recover(origin.incarnation)
            )
            for router in fleet[1 : 1 + survivors]
        ]
        await self.loop.advance(10.0, 0.1)
        self.assertTrue(all(task.done() for task in recoveries))
        ids = await self.read_ids()
        self.assertLessEqual(set(durable), set(ids))
        report = await ledger.LedgerReader(self.platform).check()
        self.assertEqual(report.bills, len(ids))

    async def test_frozen_origin_resumes_after_its_recovery(self) -> None:
        fleet = bills.build_fleet(self.platform, 3, node_count=_MANY_NODES)
        self.platform.latency_s = 0.01
        self.record(fleet[0], 3)
        await self.loop.advance(0.3, 0.01)
        fleet[0].platform.running.clear()
        await self.loop.advance(10.0)
        for router in fleet[1:]:
            await self._wait_until_finished(
                router.replica_store.recover(fleet[0].incarnation)
            )
            self.assertEqual(router.replica_store.replica_count(), 0)
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
        task = asyncio.create_task(fleet[1].replica_store.recover(origin))
        await self.loop.advance(120.0)
        self.assertFalse(task.done())
        self.platform.available = True
        await self.loop.advance(15.0)
        self.assertEqual(task.result(), 3)
        report = await ledger.LedgerReader(self.platform).check()
        self.assertTrue(report.problems[0].end_missing)

    async def test_replicas_are_written_before_a_graceful_shutdown(
        self,
    ) -> None:
        # Guards against losing bills of a failed router when the routers with
        # its replicas are shut down.
        fleet = bills.build_fleet(self.platform, 3)
        self.platform.available = False
        self.record(fleet[0], 3)
        await self.loop.advance(2.0)
        await fleet[0].crash()
        replica = fleet[1].replica_store
        task = asyncio.create_task(replica.recover_all(30.0))
        await self.loop.advance(31.0)
        self.assertEqual(task.result(), 3)
        self.platform.available = True
        task = asyncio.create_task(replica.recover_all(30.0))
        await self.loop.advance(31.0)
        self.assertEqual(task.result(), 0)
        self.assertEqual(await self.read_ids(), list(range(3)))

    async def _wait_until_finished(self, work: asyncio.Future[int]) -> None:
        task = asyncio.ensure_future(work)
        await self.loop.advance(10.0)
        self.assertTrue(task.done())


class LedgerTest(_BillingTestCase):
    """Guards against repeated charges and undetected losses."""

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
