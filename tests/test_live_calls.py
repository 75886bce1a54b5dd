"""Calls that are not repeatable run at most once, with real routers."""

import asyncio
import collections
from typing import Any

from harness import deployment, invariants, recording_client
from tests.builders import live

_ROUTERS = (1, 2, 3)


class OnceOnlyTest(live.LiveTestCase):
    """Guards against a second execution by retries with the same key."""

    @classmethod
    def build_options(cls) -> deployment.DeploymentOptions:
        options = super().build_options()
        options.platform_proxies = True
        return options

    @classmethod
    def change_document(cls, document: dict[str, Any]) -> None:
        document["backend_servers"] = [
            entry
            for entry in document["backend_servers"]
            if entry["name"] in ("engine-1", "labels-1")
        ]

    async def print_label(
        self, number: int, key: str
    ) -> recording_client.RecordedResponse:
        url = self.router(number).public_url
        return await self.retry_unconfirmed(
            lambda: self.callers.call_service(
                url, "print", key, {"pallet": key}
            )
        )

    async def print_everywhere(
        self, key: str
    ) -> list[recording_client.RecordedResponse]:
        return await asyncio.gather(
            *(self.print_label(number, key) for number in _ROUTERS)
        )

    async def print_until_settled(self, number: int, key: str) -> None:
        """Retries as a caller does, until there is no use in a retry."""
        while True:
            answer = await self.print_label(number, key)
            if answer.is_complete or not answer.error.get("retry"):
                return
            if answer.error["code"] == "call_in_progress":
                return
            await asyncio.sleep(0.05)

    async def count_executions(self) -> dict[str, int]:
        """Returns executions by key, after checking that none is repeated."""
        state = await self.running.read_emulator("labels-1")
        executions = state["executions"]
        faults = invariants.find_duplicate_executions(executions)
        self.assertEqual(faults, [])
        return collections.Counter(
            entry["idempotency_key"] for entry in executions
        )

    async def wait_executed(self, key: str) -> None:
        while key not in await self.count_executions():
            await asyncio.sleep(0.01)

    @live.on_deployment
    async def test_concurrent_retries(self) -> None:
        keys = [f"concurrent {index}" for index in range(10)]
        await asyncio.gather(*(self.print_everywhere(key) for key in keys))
        answers = [await self.print_label(1, key) for key in keys]
        self.assertTrue(all(answer.is_complete for answer in answers))
        executed = await self.count_executions()
        self.assertTrue(all(executed[key] == 1 for key in keys))

    @live.on_deployment
    async def test_lost_answers_of_claim_writes(self) -> None:
        keys = [f"lost answer {index}" for index in range(5)]
        await self.running.control_emulator("platform", lose_answers=-1)
        await asyncio.gather(*(self.print_everywhere(key) for key in keys))
        state = await self.running.control_emulator("platform", lose_answers=0)
        self.assertGreater(state["calls"]["lost_answers"], 0)
        for key in keys:
            for number in _ROUTERS:
                await self.print_until_settled(number, key)
        await self.count_executions()

    @live.on_deployment
    async def test_killed_holder(self) -> None:
        # Guards against a router that takes over the claim of a dead one.
        await self.running.control_emulator("labels-1", delay_s=30.0)
        task = asyncio.create_task(self.print_label(1, "killed"))
        await self.wait_executed("killed")
        self.router(1).process.kill()
        self.assertFalse((await task).is_complete)
        await self.running.control_emulator("labels-1", delay_s=0.0)
        for number in (2, 3):
            answer = await self.print_label(number, "killed")
            self.assertEqual(answer.error["code"], "call_in_progress")
            self.assertEqual(answer.execution, "unknown")
        await self.replace_router(1)
        answer = await self.print_label(1, "killed")
        self.assertEqual(answer.execution, "unknown")
        self.assertEqual((await self.count_executions())["killed"], 1)

    @live.on_deployment
    async def test_frozen_holder(self) -> None:
        # Guards against a holder that dispatches after it was taken for dead,
        # while another router dispatched the same call.
        proxy = self.router(1).platform_proxy
        assert proxy is not None
        proxy.faults.drop_to_client = True
        before = len(await self._read_claims())
        task = asyncio.create_task(self.print_label(1, "frozen"))
        while len(await self._read_claims()) == before:
            await asyncio.sleep(0.01)
        self.router(1).process.suspend()
        proxy.clear_faults()
        for number in (2, 3):
            answer = await self.print_label(number, "frozen")
            self.assertEqual(answer.error["code"], "call_in_progress")
        self.assertEqual((await self.count_executions())["frozen"], 0)
        self.router(1).process.resume()
        answer = await task
        count = (await self.count_executions())["frozen"]
        if answer.execution == "not run":
            self.assertEqual(count, 0, answer)
        for number in _ROUTERS:
            await self.running.wait_until_ready(self.router(number))
            await self.print_until_settled(number, "frozen")
        await self.count_executions()

    async def _read_claims(self) -> list[dict[str, Any]]:
        url = f"{self.running.platform_url}/v1/objects/calls?since=0"
        reply = await self.running.http.call("GET", url)
        return [entry["value"] for entry in reply.json()["objects"]]

    @live.on_deployment
    async def test_platform_outage(self) -> None:
        # Guards against a call without a claim, and an untrue refusal.
        await self.running.control_emulator("platform", outage=True)
        answers = [
            await self.callers.call_service(
                self.router(number).public_url, "print", "outage"
            )
            for number in _ROUTERS
        ]
        for answer in answers:
            self.assertIn(
                answer.error["code"], ("platform_unavailable", "not_confirmed")
            )
            self.assertEqual(answer.execution, "not run")
            self.assertTrue(answer.error["retry"])
        self.assertEqual((await self.count_executions())["outage"], 0)
        await self.running.control_emulator("platform", outage=False)
        for number in _ROUTERS:
            await self.running.wait_until_ready(self.router(number))
        await self.print_everywhere("outage")
        self.assertEqual((await self.count_executions())["outage"], 1)

    @live.on_deployment
    async def test_replays_are_billed_once(self) -> None:
        # Guards against a replay of a response whose bill died with its
        # router, and against a second charge by a replay.
        for index in range(3):
            done = await self._count_done()
            task = asyncio.create_task(self.print_label(1, f"billed {index}"))
            while await self._count_done() == done:
                await asyncio.sleep(0)
            self.router(1).process.kill()
            await task
            answer = await self.print_label(2, f"billed {index}")
            self.assertTrue(answer.is_complete, answer)
            await self.replace_router(1)
        executed = await self.count_executions()
        bills = [
            bill
            for bill in await self.running.read_statement(self.router(2))
            if bill["model"] == "labels" and bill["outcome"] == "completed"
        ]
        keys = [f"billed {index}" for index in range(3)]
        self.assertEqual([executed[key] for key in keys], [1, 1, 1])
        # Every stored response of this class has exactly one bill.
        self.assertEqual(len(bills), await self._count_done())

    async def _count_done(self) -> int:
        claims = await self._read_claims()
        return sum(claim["state"] == "done" for claim in claims)
