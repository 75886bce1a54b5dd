"""Tests of reserved slots and of work that is held back."""

import asyncio
import dataclasses
import random

from dragonflydyke import metrics, routing
from dragonflydyke.configuration import model
from tests.builders import documents, gateway, virtual_loop
from tests.builders.gateway_case import GatewayTestCase

LONG = model.RequestClass(
    "survey_draft", 0.0, 120.0, priority=10, may_wait_s=30.0, long=True
)
SHORT = model.RequestClass("line_question", 0.0, 5.0)


class HoldingTest(virtual_loop.VirtualTimeTestCase):
    """Guards short work against long work, and long work against loss."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.counters = metrics.Counters()
        self.pool = routing.ServerPool(
            "cartago-a", "entry-1", self.counters, source=random.Random(1)
        )
        document = documents.build_document(
            backend_servers=(documents.build_engine(slots=4),)
        )
        self.candidates = self.pool.candidates(
            gateway.FixedInForce(document), "planner-small@v1"
        )
        self.ended: list[routing.Placement] = []

    async def place(self, account: str = "a") -> routing.Placement | None:
        """Holds long work and begins it when there is room."""
        until_s = self.loop.time() + LONG.may_wait_s
        if not await self.pool.hold(
            self.candidates, (), LONG, account, until_s
        ):
            return None
        server = self.pool.pick_with_room(self.candidates, (), LONG)
        return self.pool.begin(server, self.candidates, long=True)

    async def fill(self) -> list[routing.Placement]:
        """Begins as much long work as there is room for."""
        return [await self.place() for _ in range(3)]

    async def test_long_work_leaves_slots(self) -> None:
        placements = await self.fill()
        task = asyncio.create_task(self.place())
        await self.loop.advance(2.0)
        self.assertFalse(task.done())
        self.assertEqual(self.pool.held(), 1)
        self.assertIsNotNone(self.pool.pick(self.candidates))
        placements[0].end(routing.AttemptEnd.COMPLETED)
        await virtual_loop.run_ready_tasks()
        self.assertTrue(task.done())
        self.assertEqual(self.pool.in_progress("engine-1"), 3)

    async def test_released_at_the_bound(self) -> None:
        # Guards against work that is held for ever.
        await self.fill()
        task = asyncio.create_task(self.place())
        await self.loop.advance(29.0, step_s=0.25)
        self.assertFalse(task.done())
        await self.loop.advance(2.0)
        self.assertIsNone(await task)
        self.assertEqual(self.pool.held(), 0)
        self.assertEqual(self.counters.total("hold.expired"), 1)

    async def test_accounts_take_turns(self) -> None:
        # Guards an account against one that sends many requests at once.
        (first, *_) = await self.fill()
        order: list[str] = []

        async def run(account: str) -> None:
            placement = await self.place(account)
            order.append(account)
            placement.end(routing.AttemptEnd.COMPLETED)

        tasks = [asyncio.create_task(run("a")) for _ in range(4)]
        await virtual_loop.run_ready_tasks()
        tasks.append(asyncio.create_task(run("b")))
        await virtual_loop.run_ready_tasks()
        first.end(routing.AttemptEnd.COMPLETED)
        await asyncio.gather(*tasks)
        self.assertIn("b", order[:2])

    async def test_cancelled_wait_passes_on(self) -> None:
        # Guards against a caller that leaves and blocks those behind it.
        (first, *_) = await self.fill()
        gone = asyncio.create_task(self.place())
        await virtual_loop.run_ready_tasks()
        left = asyncio.create_task(self.place())
        await virtual_loop.run_ready_tasks()
        gone.cancel()
        first.end(routing.AttemptEnd.COMPLETED)
        await virtual_loop.run_ready_tasks()
        self.assertTrue(left.done())

    async def test_nodes_share_and_borrow(self) -> None:
        self.pool.set_vm_count(3)
        self.assertIsNotNone(await self.place())
        room = self.pool.pick_with_room(self.candidates, (), LONG)
        self.assertIsNone(room)
        # A report shows what the other nodes leave free.
        self.pool.record_load("engine-1", running=1, waiting=0)
        self.assertIsNotNone(await self.place())
        room = self.pool.pick_with_room(self.candidates, (), LONG)
        self.assertIsNone(room)

    async def test_short_work_lowers_the_share_of_long_work(self) -> None:
        # Guards against long work that takes a moment with little short work.
        shorts = [self.pool.begin(self.candidates[0]) for _ in range(3)]
        await self.loop.advance(8.0, step_s=0.5)
        for placement in shorts:
            placement.end(routing.AttemptEnd.COMPLETED)
        room = self.pool.pick_with_room(self.candidates, (), LONG)
        self.assertIsNone(room)
        await self.loop.advance(8.0, step_s=0.5)
        room = self.pool.pick_with_room(self.candidates, (), LONG)
        self.assertIsNotNone(room)


class HeldRequestTest(GatewayTestCase):
    """Guards what the caller of held work is told."""

    async def test_refused_as_not_run(self) -> None:
        document = self.services.state.current.document
        waiting = dataclasses.replace(
            LONG, may_wait_s=0.05, name="survey_draft"
        )
        self.put(classes=(document.classes[0], waiting))
        current = self.services.state.current
        for server in self.services.pool.candidates(
            current, "planner-small@v1"
        ):
            for _ in range(server.slots):
                self.services.pool.begin(server)
        response = await self.fetch(
            headers={"Dragonflydyke-Class": "survey_draft"}
        )
        self.check_error(response, 503, "overloaded")
        self.assertEqual(self.services.backends.requests, [])
        self.assertEqual(self.bills, [])
