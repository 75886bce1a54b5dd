"""Tests of hedged requests: second attempts at another server."""

import asyncio
import json

from dragonflydyke import errors
from dragonflydyke.configuration import model
from tests.builders import gateway
from tests.builders.gateway_case import GatewayTestCase, build_error_at


class HedgingTest(GatewayTestCase):
    """Guards against wrong responses and bills of hedged requests."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        # The first request sets the baseline latency of this kind of work.
        self.script_responses([gateway.build_completion()])
        await self.fetch()
        self.bills.clear()
        self.services.backends.requests.clear()
        self.never = asyncio.Event()

    async def test_slow_attempt_is_cancelled_and_billed(self) -> None:
        # Guards against a slow attempt that is not cancelled, keeps counting as
        # load or is missing on the bill.
        slow = gateway.ScriptedResponse([self.never])
        self.script_responses(slow, [gateway.build_completion("fast")])
        response = await self.fetch()
        self.assertIn(b"fast", response.body)
        (bill,) = self.bills
        self.assertEqual(
            [attempt.outcome for attempt in bill.attempts],
            ["cancelled", "completed"],
        )
        self.assertEqual(bill.outcome, "completed")
        self.assertEqual(bill.cost, sum(a.cost for a in bill.attempts))
        self.assertEqual(
            json.loads(response.body)["dragonflydyke"]["cost"], bill.cost
        )
        self.assertTrue(slow.closed.is_set())
        used_servers = [r.server.name for r in self.services.backends.requests]
        self.assertEqual(len(set(used_servers)), 2)
        for name in used_servers:
            self.assertEqual(self.services.pool.count_in_progress(name), 0)

    async def test_slow_attempt_still_responds_first(self) -> None:
        # Guards against a bill that names the cancelled hedge instead of the
        # attempt that responded.
        gate = asyncio.Event()
        second = gateway.ScriptedResponse([self.never])
        self.script_responses([gate, gateway.build_completion("slow")], second)
        fetching = asyncio.create_task(self.fetch())
        await self.services.counters.wait("hedge.begun")
        gate.set()
        response = await fetching
        self.assertIn(b"slow", response.body)
        (bill,) = self.bills
        first = self.services.backends.requests[0].server.name
        self.assertEqual(bill.backend_server, first)
        self.assertEqual(bill.attempts[-1].outcome, "completed")

    async def test_failed_attempt_leaves_the_other_one(self) -> None:
        # Guards against an error response when one attempt fails and the other
        # one completes.
        gate = asyncio.Event()
        self.script_responses(
            [gate, gateway.build_completion("answer")],
            [build_error_at(errors.Step.READ_ANSWER)],
        )
        fetching = asyncio.create_task(self.fetch())
        await self.services.counters.wait("hedge.begun")
        await self.wait_for_requests(2)
        gate.set()
        response = await fetching
        self.assertEqual(response.code, 200)
        self.assertIn(b"answer", response.body)

    async def test_client_disconnects(self) -> None:
        # Guards against missing bills when the client disconnects while both
        # attempts are in progress.
        responses = [gateway.ScriptedResponse([self.never]) for _ in range(2)]
        self.script_responses(*responses)
        _, writer = await self.open_stream_of_known_kind()
        await self.services.counters.wait("hedge.begun")
        writer.close()
        await self.services.bills.record_started.wait()
        for scripted in responses:
            await scripted.closed.wait()
        await self.services.tracker.wait_until_idle()
        (bill,) = self.bills
        self.assertEqual(bill.outcome, "cancelled")
        self.assertEqual(len(bill.attempts), 2)

    async def test_exhausted_hedge_budget(self) -> None:
        # Guards against hedged requests beyond the configured budget.
        policy = model.Policy(hedge_budget_share=0.0)
        self.replace_configuration(policy=policy)
        gate = asyncio.Event()
        self.script_responses([gate, gateway.build_completion()])
        fetching = asyncio.create_task(self.fetch())
        # Longer than the delay after which the request would be hedged.
        await asyncio.sleep(0.3)
        gate.set()
        self.assertEqual((await fetching).code, 200)
        self.assertEqual(self.services.counters.total("hedge.begun"), 0)

    async def wait_for_requests(self, count: int) -> None:
        while len(self.services.backends.requests) < count:
            await asyncio.sleep(0)

    async def open_stream_of_known_kind(self):
        chat = {"model": "planner-small", "messages": [{}]}
        self.services.bills.record_started.clear()
        return await self.send_raw(json.dumps(chat).encode())
