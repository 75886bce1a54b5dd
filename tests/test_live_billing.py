"""Live tests: every request is billed once although routers are killed."""

import asyncio
import contextlib
from typing import Any

from harness import deployment, invariants, recording_client
from tests.builders import live

_SLOW_DECODE_S = 0.01
# Routers that hold replicas of bills write those of a dead router after 13 s. A
# bill that is missing after this time is considered lost.
_BILL_TIMEOUT_S = 60.0


class _BillingTestCase(live.LiveTestCase):
    @classmethod
    def change_document(cls, document: dict[str, Any]) -> None:
        document["backend_servers"] = [
            entry
            for entry in document["backend_servers"]
            if entry["name"] in ("engine-1", "labels-1")
        ]

    def setUp(self) -> None:
        self.responses: list[recording_client.RecordedResponse] = []

    async def send_chat(
        self, number: int, call: recording_client.ChatCall, **options: Any
    ) -> recording_client.RecordedResponse:
        url = self.router(number).public_url
        response = await self.retry_until_confirmed(
            lambda: self.callers.chat(url, call, **options)
        )
        self.responses.append(response)
        return response

    async def send_chats_to_each(
        self, numbers: tuple[int, ...], name: str
    ) -> None:
        """Sends three requests to each router; all must be completed."""
        calls = [
            (number, recording_client.ChatCall(f"{name} {number} {index}"))
            for number in numbers
            for index in range(3)
        ]
        await asyncio.gather(*(self.send_chat(*entry) for entry in calls))
        for response in self.responses:
            self.assertTrue(response.is_complete, response)

    async def wait_until_billed(self) -> list[dict[str, Any]]:
        """Waits until each complete response is billed; returns the ledger."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + _BILL_TIMEOUT_S
        while True:
            bills = await self.running.read_ledger()
            unbilled = invariants.find_unbilled_completions(
                self.responses, bills
            )
            if not unbilled:
                return bills
            if loop.time() > end_s:
                self.running.print_logs()
                self.fail(f"complete responses without a bill: {unbilled}")
            await asyncio.sleep(0.05)

    async def check_billing(self, number: int) -> None:
        bills = await self.wait_until_billed()
        statement = await self.running.read_statement(self.router(number))
        faults = invariants.find_billing_faults(
            self.responses, bills, statement
        )
        self.assertEqual(faults, [])


class KilledRouterTest(_BillingTestCase):
    """Guards against lost and duplicate bills when a router is killed."""

    def build_call(self, name: str) -> recording_client.ChatCall:
        return recording_client.ChatCall(
            name, headers={"Idempotency-Key": name}
        )

    @live.run_on_deployment_loop
    async def test_killed_at_each_step_of_a_request(self) -> None:
        await self.control_running_engines(decode_s=_SLOW_DECODE_S)
        for name, step in (
            ("before dispatch", self._kill_before_dispatch),
            ("prefill", self._kill_in_prefill),
            ("in the stream", self._kill_in_stream),
            ("before the bill is safe", self._kill_before_bill),
            ("after the end marker", self._kill_after_end),
        ):
            with self.subTest(name):
                call = self.build_call(name)
                await step(call)
                # A client that got no end marker retries at another router.
                retry = await self.send_chat(2, call)
                self.assertTrue(retry.is_complete, retry)
                bills = await self.wait_until_billed()
                bill_id = retry.extension["bill_id"]
                ids = [b["bill_id"] for b in bills]
                self.assertIn(bill_id, ids)
                await self.replace_router(1)
        await self.check_billing(2)

    async def _kill_before_dispatch(
        self, call: recording_client.ChatCall
    ) -> None:
        address = self.router(1).public_url.removeprefix("http://")
        host, _, port = address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
            f"Authorization: Bearer {recording_client.ACCOUNT_KEY}\r\n"
            f"Idempotency-Key: {call.headers['Idempotency-Key']}\r\n"
            "Content-Length: 100\r\nExpect: 100-continue\r\n\r\n"
        )
        writer.write(head.encode())
        # The router has read the headers once it asks for the body.
        self.assertIn(b"100", await reader.readline())
        writer.write(b'{"model": ')
        await writer.drain()
        self.router(1).process.kill()
        # The connection is reset if the router has not read the body yet.
        with contextlib.suppress(ConnectionResetError):
            await reader.read()
        writer.close()

    async def _kill_in_prefill(self, call: recording_client.ChatCall) -> None:
        await self.control_running_engines(prefill_s=1.0)
        task = asyncio.create_task(self.send_chat(1, call))
        await self.wait_for_running_requests()
        self.router(1).process.kill()
        response = await task
        await self.control_running_engines(prefill_s=0.0)
        self.assertEqual((response.is_complete, response.text), (False, ""))

    async def _kill_in_stream(self, call: recording_client.ChatCall) -> None:
        response = await self._kill_at_text(call, 3)
        self.assertFalse(response.is_complete)
        self.assertNotEqual(response.text, "")

    async def _kill_before_bill(self, call: recording_client.ChatCall) -> None:
        """Kills the router when only it has the bill, after sending the text.

        On a busy machine the wait for replicas may time out, and the response
        is then finished while only this router has the bill. Losing that bill
        is allowed, so the step is repeated.
        """
        for _ in range(3):
            await self.running.control_emulator("platform", hang=True)
            for number in (2, 3):
                self.router(number).process.suspend()
            response = await self._kill_at_text(
                call, recording_client.COMPLETION_TOKENS
            )
            for number in (2, 3):
                self.router(number).process.resume()
            await self.running.control_emulator("platform", hang=False)
            for number in (2, 3):
                await self.running.wait_until_ready(self.router(number))
            if not response.is_complete:
                break
            self.responses.remove(response)
            await self.replace_router(1)
        self.assertEqual(
            len(response.text.split()),
            recording_client.COMPLETION_TOKENS,
            response,
        )
        self.assertFalse(response.is_complete)

    async def _kill_after_end(self, call: recording_client.ChatCall) -> None:
        response = await self.send_chat(1, call)
        self.router(1).process.kill()
        self.assertTrue(response.is_complete)

    async def _kill_at_text(
        self, call: recording_client.ChatCall, words: int
    ) -> recording_client.RecordedResponse:
        def kill_at_words(text: str) -> None:
            if len(text.split()) >= words:
                self.router(1).process.kill()

        return await self.send_chat(1, call, on_text=kill_at_words)

    @live.run_on_deployment_loop
    async def test_lost_responses_to_ledger_writes(self) -> None:
        # Guards against a second ledger entry when a write took effect but its
        # response was lost.
        await self.control_running_engines(decode_s=0.0)
        await self.running.control_emulator("platform", lose_answers=-1)
        for index in range(4):
            await self.send_chats_to_each((1, 2, 3), f"lost answer {index}")
        state = await self.running.control_emulator("platform", lose_answers=0)
        self.assertGreater(state["calls"]["lost_answers"], 0)
        await self.check_billing(1)


class PlatformOutageTest(_BillingTestCase):
    """Guards against lost and duplicate bills after a platform outage."""

    @classmethod
    def build_options(cls) -> deployment.DeploymentOptions:
        options = super().build_options()
        options.routers = (*deployment.ROUTERS, ("router-4", "cartago-b"))
        return options

    @live.run_on_deployment_loop
    async def test_router_killed_and_router_frozen_in_an_outage(self) -> None:
        await self.send_chats_to_each((1, 2, 3, 4), "before")
        await self.running.control_emulator("platform", outage=True)
        # Only the routers that are stopped record bills. The others would write
        # theirs only after their backoff delay.
        await self.send_chats_to_each((1, 2), "outage")
        for number in (1, 2):
            counters = await self.running.read_counters(self.router(number))
            self.assertNotIn("bill.held_alone", counters)
        self.router(1).process.kill()
        self.router(2).process.suspend()
        # The outage lasts until the replica holders have received nothing from
        # the two routers for 10 s and start to recover their bills.
        await self._wait_for_event((3, 4), "bill.recovery_started")
        await self.running.control_emulator("platform", outage=False)
        await self.wait_until_billed()
        # The replica holders wrote the bills of the frozen router, which now
        # writes them too.
        self.router(2).process.resume()
        await self.running.wait_until_ready(self.router(2))
        await self.send_chats_to_each((2, 3), "after")
        # Router 2 finds the entry of the replica holders when it creates its
        # own or, if it was frozen during a write, when it reads the outcome.
        # Until its backoff ends, its new bills are only replicated.
        await self._wait_for_event(
            (2,), "bill.journal.conflict", "bill.journal.answer_lost"
        )
        await self.check_billing(3)

    async def _wait_for_event(
        self, numbers: tuple[int, ...], *events: str
    ) -> None:
        """Waits until each of the routers has counted one of the events."""
        for number in numbers:
            while True:
                router = self.router(number)
                counters = await self.running.read_counters(router)
                if any(counters.get(event, 0) for event in events):
                    break
                await asyncio.sleep(0.05)


class LostBillTest(_BillingTestCase):
    """Guards against bill losses other than those that the design allows."""

    @live.run_on_deployment_loop
    async def test_router_and_both_replica_holders_killed(self) -> None:
        await self.send_chats_to_each((1, 2, 3), "written")
        await self.running.control_emulator("platform", outage=True)
        await self.send_chats_to_each((1,), "held")
        for number in (1, 2, 3):
            self.router(number).process.kill()
        await self.running.control_emulator("platform", outage=False)
        await self._restart_all()
        bills = await self.running.read_ledger()
        unbilled = invariants.find_unbilled_completions(self.responses, bills)
        expected = [
            response.extension["bill_id"] for response in self.responses[-3:]
        ]
        self.assertEqual(sorted(unbilled), sorted(expected))
        # The check reports the journals that were not marked as ended.
        check = await self.running.check_ledger(self.router(1))
        self.assertGreaterEqual(len(check["gaps"]), 3)
        self.assertEqual(check["duplicates"], [])

    @live.run_on_deployment_loop
    async def test_graceful_shutdown_of_replica_holders_keeps_bills(
        self,
    ) -> None:
        # Guards against replicas of bills that are lost in a rolling restart.
        await self.send_chats_to_each((1, 2, 3), "written")
        await self.running.control_emulator("platform", outage=True)
        await self.send_chats_to_each((1,), "held")
        self.router(1).process.kill()
        for number in (2, 3):
            self.router(number).process.terminate()
        await self.running.control_emulator("platform", outage=False)
        await self._restart_all()
        await self.check_billing(1)

    @live.run_on_deployment_loop
    async def test_router_killed_with_unreplicated_bill(self) -> None:
        await self.send_chats_to_each((1,), "written")
        await self.running.control_emulator("platform", outage=True)
        for number in (2, 3):
            self.router(number).process.suspend()
        response = await self.send_chat(
            1, recording_client.ChatCall("held alone")
        )
        self.assertTrue(response.is_complete, response)
        counters = await self.running.read_counters(self.router(1))
        self.assertEqual(counters.get("bill.held_alone"), 1)
        for number in (1, 2, 3):
            self.router(number).process.kill()
        await self.running.control_emulator("platform", outage=False)
        await self._restart_all()
        bills = await self.running.read_ledger()
        unbilled = invariants.find_unbilled_completions(self.responses, bills)
        self.assertEqual(unbilled, [response.extension["bill_id"]])

    async def _restart_all(self) -> None:
        for number in (1, 2, 3):
            router = self.router(number)
            await router.process.wait()
            await self.running.start_router(router.vm, router.data_centre)
        await self.running.publish_vms()
        for number in (1, 2, 3):
            await self.running.wait_until_ready(self.router(number))
