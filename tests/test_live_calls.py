"""Live tests: non-idempotent calls run at most once."""

import asyncio
import collections
from typing import Any

from harness import deployment, invariants, recording_client
from tests.builders import live

_ROUTERS = (1, 2, 3)


class AtMostOnceTest(live.LiveTestCase):
    """Guards against a second execution when a call is retried with its key."""

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
        return await self.retry_until_confirmed(
            lambda: self.callers.call_service(
                url, "print", key, {"pallet": key}
            )
        )

    async def print_at_all_routers(
        self, key: str
    ) -> list[recording_client.RecordedResponse]:
        return await asyncio.gather(
            *(self.print_label(number, key) for number in _ROUTERS)
        )

    async def print_until_final(self, number: int, key: str) -> None:
        """Retries as a client does, until a retry cannot succeed any more."""
        while True:
            response = await self.print_label(number, key)
            if response.is_complete or not response.error.get("retry"):
                return
            if response.error["code"] == "call_in_progress":
                return
            await asyncio.sleep(0.05)

    async def count_executions(self) -> dict[str, int]:
        """Returns the number of executions by key; none may be repeated."""
        state = await self.running.read_emulator("labels-1")
        executions = state["executions"]
        faults = invariants.find_duplicate_executions(executions)
        self.assertEqual(faults, [])
        return collections.Counter(
            entry["idempotency_key"] for entry in executions
        )

    async def wait_until_executed(self, key: str) -> None:
        while key not in await self.count_executions():
            await asyncio.sleep(0.01)

    @live.run_on_deployment_loop
    async def test_concurrent_retries_run_once(self) -> None:
        keys = [f"concurrent {index}" for index in range(10)]
        await asyncio.gather(*(self.print_at_all_routers(key) for key in keys))
        responses = [await self.print_label(1, key) for key in keys]
        self.assertTrue(all(response.is_complete for response in responses))
        executed = await self.count_executions()
        self.assertTrue(all(executed[key] == 1 for key in keys))

    @live.run_on_deployment_loop
    async def test_lost_responses_to_claim_writes(self) -> None:
        keys = [f"lost answer {index}" for index in range(5)]
        await self.running.control_emulator("platform", lose_answers=-1)
        await asyncio.gather(*(self.print_at_all_routers(key) for key in keys))
        state = await self.running.control_emulator("platform", lose_answers=0)
        self.assertGreater(state["calls"]["lost_answers"], 0)
        for key in keys:
            for number in _ROUTERS:
                await self.print_until_final(number, key)
        await self.count_executions()

    @live.run_on_deployment_loop
    async def test_killed_claim_holder(self) -> None:
        # Guards against a second execution by a router that takes over the
        # claim of a dead router.
        await self.running.control_emulator("labels-1", delay_s=30.0)
        task = asyncio.create_task(self.print_label(1, "killed"))
        await self.wait_until_executed("killed")
        self.router(1).process.kill()
        self.assertFalse((await task).is_complete)
        await self.running.control_emulator("labels-1", delay_s=0.0)
        for number in (2, 3):
            response = await self.print_label(number, "killed")
            self.assertEqual(response.error["code"], "call_in_progress")
            self.assertEqual(response.execution, "unknown")
        await self.replace_router(1)
        response = await self.print_label(1, "killed")
        self.assertEqual(response.execution, "unknown")
        self.assertEqual((await self.count_executions())["killed"], 1)

    @live.run_on_deployment_loop
    async def test_frozen_claim_holder(self) -> None:
        # Guards against a claim holder that resumes and dispatches its call
        # after another router assumed it dead and dispatched the same call.
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
            response = await self.print_label(number, "frozen")
            self.assertEqual(response.error["code"], "call_in_progress")
        self.assertEqual((await self.count_executions())["frozen"], 0)
        self.router(1).process.resume()
        response = await task
        count = (await self.count_executions())["frozen"]
        if response.execution == "not run":
            self.assertEqual(count, 0, response)
        for number in _ROUTERS:
            await self.running.wait_until_ready(self.router(number))
            await self.print_until_final(number, "frozen")
        await self.count_executions()

    async def _read_claims(self) -> list[dict[str, Any]]:
        url = f"{self.running.platform_url}/v1/objects/calls?since=0"
        reply = await self.running.http.call("GET", url)
        return [entry["value"] for entry in reply.json()["objects"]]

    @live.run_on_deployment_loop
    async def test_platform_outage_rejects_calls(self) -> None:
        # Guards against a call that runs without a claim, and against a
        # rejection that wrongly states "not run".
        await self.running.control_emulator("platform", outage=True)
        responses = [
            await self.callers.call_service(
                self.router(number).public_url, "print", "outage"
            )
            for number in _ROUTERS
        ]
        for response in responses:
            self.assertIn(
                response.error["code"],
                ("platform_unavailable", "not_confirmed"),
            )
            self.assertEqual(response.execution, "not run")
            self.assertTrue(response.error["retry"])
        self.assertEqual((await self.count_executions())["outage"], 0)
        await self.running.control_emulator("platform", outage=False)
        for number in _ROUTERS:
            await self.running.wait_until_ready(self.router(number))
        await self.print_at_all_routers("outage")
        self.assertEqual((await self.count_executions())["outage"], 1)

    @live.run_on_deployment_loop
    async def test_replays_are_billed_once(self) -> None:
        # Guards against replaying a response whose bill was lost with its
        # router, and against charging for a replay.
        for index in range(3):
            done = await self._count_stored_responses()
            task = asyncio.create_task(self.print_label(1, f"billed {index}"))
            while await self._count_stored_responses() == done:
                await asyncio.sleep(0)
            self.router(1).process.kill()
            await task
            response = await self.print_label(2, f"billed {index}")
            self.assertTrue(response.is_complete, response)
            await self.replace_router(1)
        executed = await self.count_executions()
        bills = [
            bill
            for bill in await self.running.read_statement(self.router(2))
            if bill["model"] == "labels" and bill["outcome"] == "completed"
        ]
        keys = [f"billed {index}" for index in range(3)]
        self.assertEqual([executed[key] for key in keys], [1, 1, 1])
        # Each stored response, over all tests of this class, has one bill.
        self.assertEqual(len(bills), await self._count_stored_responses())

    async def _count_stored_responses(self) -> int:
        claims = await self._read_claims()
        return sum(claim["state"] == "done" for claim in claims)
