"""Tests of slots reserved for short work and of the queue for capacity."""

import asyncio
import dataclasses
import random

from dragonflydyke import metrics, routing
from dragonflydyke.configuration import model
from dragonflydyke.routing import capacity_queue
from tests.builders import (
    documents,
    gateway,
    memory_growth,
    virtual_loop,
)
from tests.builders.gateway_case import GatewayTestCase

LONG = model.RequestClass(
    "survey_draft", 0.0, 120.0, priority=10, may_wait_s=30.0, long=True
)
SHORT = model.RequestClass("line_question", 0.0, 5.0)


class CapacityQueueTest(virtual_loop.VirtualTimeTestCase):
    """Guards against long work that starves short work or waits for ever."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.counters = metrics.Counters()
        self.pool = routing.ServerPool(
            "cartago-a", "entry-1", self.counters, source=random.Random(1)
        )
        document = documents.build_document(
            backend_servers=(documents.build_engine(slots=4),)
        )
        self.candidates = self.pool.list_candidates(
            gateway.FixedInForce(document), "planner-small@v1"
        )
        self.finished: list[routing.ServerAttempt] = []

    async def start_when_possible(
        self, account: str = "a"
    ) -> routing.ServerAttempt | None:
        """Starts a long request as soon as there is capacity.

        Returns:
            The attempt, or None if there was no capacity in time.
        """
        until_s = self.loop.time() + LONG.may_wait_s
        if not await self.pool.wait_for_capacity(
            self.candidates, (), LONG, account, until_s
        ):
            return None
        server = self.pool.select_with_capacity(self.candidates, (), LONG)
        return self.pool.start_attempt(server, self.candidates, long=True)

    async def fill(self) -> list[routing.ServerAttempt]:
        """Starts as many long requests as there is capacity for."""
        return [await self.start_when_possible() for _ in range(3)]

    async def test_long_work_leaves_reserved_slots_free(self) -> None:
        attempts = await self.fill()
        task = asyncio.create_task(self.start_when_possible())
        await self.loop.advance(2.0)
        self.assertFalse(task.done())
        self.assertEqual(self.pool.count_queued(), 1)
        self.assertIsNotNone(self.pool.select_server(self.candidates))
        attempts[0].finish(routing.AttemptOutcome.COMPLETED)
        await virtual_loop.run_ready_tasks()
        self.assertTrue(task.done())
        self.assertEqual(self.pool.count_in_progress("engine-1"), 3)

    async def test_wait_ends_at_its_time_limit(self) -> None:
        # Guards against requests that stay queued for ever.
        await self.fill()
        task = asyncio.create_task(self.start_when_possible())
        await self.loop.advance(29.0, step_s=0.25)
        self.assertFalse(task.done())
        await self.loop.advance(2.0)
        self.assertIsNone(await task)
        self.assertEqual(self.pool.count_queued(), 0)
        self.assertEqual(self.counters.total("hold.expired"), 1)

    async def test_accounts_are_queued_fairly(self) -> None:
        # Guards against an account that sends many requests at once and
        # delays the requests of all others.
        (first, *_) = await self.fill()
        order: list[str] = []

        async def run(account: str) -> None:
            attempt = await self.start_when_possible(account)
            order.append(account)
            attempt.finish(routing.AttemptOutcome.COMPLETED)

        tasks = [asyncio.create_task(run("a")) for _ in range(4)]
        await virtual_loop.run_ready_tasks()
        tasks.append(asyncio.create_task(run("b")))
        await virtual_loop.run_ready_tasks()
        first.finish(routing.AttemptOutcome.COMPLETED)
        await asyncio.gather(*tasks)
        self.assertIn("b", order[:2])

    async def test_accounts_without_requests_use_no_memory(self) -> None:
        # Guards against memory that grows with each account that ever waited.
        await self.fill()
        queue = capacity_queue.CapacityQueue(self.counters)
        with memory_growth.measure() as growth:
            for number in range(5_000):
                await queue.wait(
                    "engine-1",
                    f"account-{number:060}",
                    1,
                    lambda: queue.count_queued() > 0,
                    self.loop.time(),
                )
        self.assertLess(growth.size_bytes, 100_000)

    async def test_cancelled_wait_does_not_block_the_queue(self) -> None:
        # Guards against a client that disconnects while its request is queued,
        # whose entry then blocks the requests behind it.
        (first, *_) = await self.fill()
        cancelled = asyncio.create_task(self.start_when_possible())
        await virtual_loop.run_ready_tasks()
        remaining = asyncio.create_task(self.start_when_possible())
        await virtual_loop.run_ready_tasks()
        cancelled.cancel()
        first.finish(routing.AttemptOutcome.COMPLETED)
        await virtual_loop.run_ready_tasks()
        self.assertTrue(remaining.done())

    async def test_unused_share_of_other_nodes_is_used(self) -> None:
        # Guards against long work above this node's share without a load
        # report, and against capacity that stays idle although a report shows
        # it to be free.
        self.pool.set_vm_count(3)
        self.assertIsNotNone(await self.start_when_possible())
        server = self.pool.select_with_capacity(self.candidates, (), LONG)
        self.assertIsNone(server)
        # A report shows the capacity that the other nodes leave unused.
        self.pool.record_load_report("engine-1", running=1, waiting=0)
        self.assertIsNotNone(await self.start_when_possible())
        server = self.pool.select_with_capacity(self.candidates, (), LONG)
        self.assertIsNone(server)

    async def test_short_work_lowers_the_share_of_long_work(self) -> None:
        # Guards against long work that fills the slots during a brief dip in
        # short work.
        shorts = [self.pool.start_attempt(self.candidates[0]) for _ in range(3)]
        await self.loop.advance(8.0, step_s=0.5)
        for attempt in shorts:
            attempt.finish(routing.AttemptOutcome.COMPLETED)
        server = self.pool.select_with_capacity(self.candidates, (), LONG)
        self.assertIsNone(server)
        await self.loop.advance(8.0, step_s=0.5)
        server = self.pool.select_with_capacity(self.candidates, (), LONG)
        self.assertIsNotNone(server)


class QueuedRequestTest(GatewayTestCase):
    """Guards the response to a request that finds no capacity in time."""

    async def test_rejected_as_not_run(self) -> None:
        # Guards against a request that is sent to a server or billed although
        # its response says that it was not run.
        document = self.services.state.current.document
        waiting = dataclasses.replace(
            LONG, may_wait_s=0.05, name="survey_draft"
        )
        self.replace_configuration(classes=(document.classes[0], waiting))
        current = self.services.state.current
        for server in self.services.pool.list_candidates(
            current, "planner-small@v1"
        ):
            for _ in range(server.slots):
                self.services.pool.start_attempt(server)
        response = await self.fetch(
            headers={"Dragonflydyke-Class": "survey_draft"}
        )
        self.check_error(response, 503, "overloaded")
        self.assertEqual(self.services.backends.requests, [])
        self.assertEqual(self.bills, [])
