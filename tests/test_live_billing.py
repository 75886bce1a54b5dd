"""Every request is billed once, with real routers that are killed."""

import asyncio
import contextlib
from typing import Any

from harness import deployment, invariants, recording_client
from tests.builders import live

_SLOW_DECODE_S = 0.01
# Holders write the bills of a dead router after 13 s; a bill that is missing
# after this time is lost.
_LOST_AFTER_S = 60.0


class _BillingTestCase(live.LiveTestCase):
    @classmethod
    def change_document(cls, document: dict[str, Any]) -> None:
        document["backend_servers"] = [
            entry
            for entry in document["backend_servers"]
            if entry["name"] in ("engine-1", "labels-1")
        ]

    def setUp(self) -> None:
        self.answers: list[recording_client.RecordedResponse] = []

    async def ask(
        self, number: int, call: recording_client.ChatCall, **options: Any
    ) -> recording_client.RecordedResponse:
        url = self.router(number).public_url
        answer = await self.retry_unconfirmed(
            lambda: self.callers.chat(url, call, **options)
        )
        self.answers.append(answer)
        return answer

    async def ask_each(self, numbers: tuple[int, ...], name: str) -> None:
        """Has whole answers of several requests from each router."""
        calls = [
            (number, recording_client.ChatCall(f"{name} {number} {index}"))
            for number in numbers
            for index in range(3)
        ]
        await asyncio.gather(*(self.ask(*entry) for entry in calls))
        for answer in self.answers:
            self.assertTrue(answer.is_complete, answer)

    async def wait_billed(self) -> list[dict[str, Any]]:
        """Waits until each whole answer has a bill; returns the ledger."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + _LOST_AFTER_S
        while True:
            bills = await self.running.read_ledger()
            lost = invariants.find_unbilled_completions(self.answers, bills)
            if not lost:
                return bills
            if loop.time() > end_s:
                self.fail(f"whole answers without a bill: {lost}")
            await asyncio.sleep(0.05)

    async def check_billing(self, number: int) -> None:
        bills = await self.wait_billed()
        statement = await self.running.read_statement(self.router(number))
        faults = invariants.find_billing_faults(self.answers, bills, statement)
        self.assertEqual(faults, [])


class KilledRouterTest(_BillingTestCase):
    """Guards against lost and double bills when a router dies at any step."""

    def build_call(self, name: str) -> recording_client.ChatCall:
        return recording_client.ChatCall(
            name, headers={"Idempotency-Key": name}
        )

    @live.on_deployment
    async def test_killed_at_each_step(self) -> None:
        await self.control_engines(decode_s=_SLOW_DECODE_S)
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
                # A caller without the end marker retries elsewhere.
                retry = await self.ask(2, call)
                self.assertTrue(retry.is_complete, retry)
                bills = await self.wait_billed()
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
        # The router has read the headers when it asks for the body.
        self.assertIn(b"100", await reader.readline())
        writer.write(b'{"model": ')
        await writer.drain()
        self.router(1).process.kill()
        # The end is a reset if the router had not read the body yet.
        with contextlib.suppress(ConnectionResetError):
            await reader.read()
        writer.close()

    async def _kill_in_prefill(self, call: recording_client.ChatCall) -> None:
        await self.control_engines(prefill_s=1.0)
        task = asyncio.create_task(self.ask(1, call))
        await self.wait_engines_run()
        self.router(1).process.kill()
        answer = await task
        await self.control_engines(prefill_s=0.0)
        self.assertEqual((answer.is_complete, answer.text), (False, ""))

    async def _kill_in_stream(self, call: recording_client.ChatCall) -> None:
        answer = await self._kill_at_text(call, 3)
        self.assertFalse(answer.is_complete)
        self.assertNotEqual(answer.text, "")

    async def _kill_before_bill(self, call: recording_client.ChatCall) -> None:
        """Kills it with the whole text sent and the bill in its memory only.

        A busy machine may take so long that the answer is released with the
        bill held alone; this loss is allowed, and the step is repeated.
        """
        for _ in range(3):
            await self.running.control_emulator("platform", hang=True)
            for number in (2, 3):
                self.router(number).process.suspend()
            answer = await self._kill_at_text(
                call, recording_client.COMPLETION_TOKENS
            )
            for number in (2, 3):
                self.router(number).process.resume()
            await self.running.control_emulator("platform", hang=False)
            for number in (2, 3):
                await self.running.wait_until_ready(self.router(number))
            if not answer.is_complete:
                break
            self.answers.remove(answer)
            await self.replace_router(1)
        self.assertEqual(
            len(answer.text.split()), recording_client.COMPLETION_TOKENS, answer
        )
        self.assertFalse(answer.is_complete)

    async def _kill_after_end(self, call: recording_client.ChatCall) -> None:
        answer = await self.ask(1, call)
        self.router(1).process.kill()
        self.assertTrue(answer.is_complete)

    async def _kill_at_text(
        self, call: recording_client.ChatCall, words: int
    ) -> recording_client.RecordedResponse:
        def kill_at_words(text: str) -> None:
            if len(text.split()) >= words:
                self.router(1).process.kill()

        return await self.ask(1, call, on_text=kill_at_words)

    @live.on_deployment
    async def test_lost_answers_of_ledger_writes(self) -> None:
        # Guards against a second entry for a write that had taken effect.
        await self.control_engines(decode_s=0.0)
        await self.running.control_emulator("platform", lose_answers=-1)
        for index in range(4):
            await self.ask_each((1, 2, 3), f"lost answer {index}")
        state = await self.running.control_emulator("platform", lose_answers=0)
        self.assertGreater(state["calls"]["lost_answers"], 0)
        await self.check_billing(1)


class OutageTest(_BillingTestCase):
    """Guards against bills lost or doubled by holders after an outage."""

    @classmethod
    def build_options(cls) -> deployment.DeploymentOptions:
        options = super().build_options()
        options.routers = (*deployment.ROUTERS, ("router-4", "cartago-b"))
        return options

    @live.on_deployment
    async def test_killed_and_frozen_in_an_outage(self) -> None:
        await self.ask_each((1, 2, 3, 4), "before")
        await self.running.control_emulator("platform", outage=True)
        # Only the routers that stop record bills, as the others would write
        # theirs only after their back-off.
        await self.ask_each((1, 2), "outage")
        self.router(1).process.kill()
        self.router(2).process.suspend()
        # The outage lasts until the silence of the origins is over, 10 s.
        await self._wait_counter("bill.recovery_started")
        await self.running.control_emulator("platform", outage=False)
        await self.wait_billed()
        # Its holders wrote the bills of the frozen router, which now writes
        # them too.
        self.router(2).process.resume()
        await self.running.wait_until_ready(self.router(2))
        await self.ask_each((2, 3), "after")
        counters = await self.running.read_counters(self.router(2))
        self.assertGreater(counters.get("bill.journal.conflict", 0), 0)
        await self.check_billing(3)

    async def _wait_counter(self, name: str) -> None:
        """Waits until the two running routers have counted an event."""
        for number in (3, 4):
            while True:
                router = self.router(number)
                counters = await self.running.read_counters(router)
                if counters.get(name, 0) > 0:
                    break
                await asyncio.sleep(0.05)


class LostBillTest(_BillingTestCase):
    """Counts the losses that the design allows, and guards against others."""

    @live.on_deployment
    async def test_router_and_both_holders_die(self) -> None:
        await self.ask_each((1, 2, 3), "written")
        await self.running.control_emulator("platform", outage=True)
        await self.ask_each((1,), "held")
        for number in (1, 2, 3):
            self.router(number).process.kill()
        await self.running.control_emulator("platform", outage=False)
        await self._restart_all()
        bills = await self.running.read_ledger()
        lost = invariants.find_unbilled_completions(self.answers, bills)
        expected = [answer.extension["bill_id"] for answer in self.answers[-3:]]
        self.assertEqual(sorted(lost), sorted(expected))
        # An operator sees the journals that have no mark of their end.
        check = await self.running.check_ledger(self.router(1))
        self.assertGreaterEqual(len(check["gaps"]), 3)
        self.assertEqual(check["duplicates"], [])

    @live.on_deployment
    async def test_holders_stop_as_planned(self) -> None:
        # Guards against copies that are dropped by a rolling restart.
        await self.ask_each((1, 2, 3), "written")
        await self.running.control_emulator("platform", outage=True)
        await self.ask_each((1,), "held")
        self.router(1).process.kill()
        for number in (2, 3):
            self.router(number).process.terminate()
        await self.running.control_emulator("platform", outage=False)
        await self._restart_all()
        await self.check_billing(1)

    @live.on_deployment
    async def test_router_dies_with_a_bill_held_alone(self) -> None:
        await self.ask_each((1,), "written")
        await self.running.control_emulator("platform", outage=True)
        for number in (2, 3):
            self.router(number).process.suspend()
        answer = await self.ask(1, recording_client.ChatCall("held alone"))
        self.assertTrue(answer.is_complete, answer)
        counters = await self.running.read_counters(self.router(1))
        self.assertEqual(counters.get("bill.held_alone"), 1)
        for number in (1, 2, 3):
            self.router(number).process.kill()
        await self.running.control_emulator("platform", outage=False)
        await self._restart_all()
        bills = await self.running.read_ledger()
        lost = invariants.find_unbilled_completions(self.answers, bills)
        self.assertEqual(lost, [answer.extension["bill_id"]])

    async def _restart_all(self) -> None:
        for number in (1, 2, 3):
            router = self.router(number)
            await router.process.wait()
            await self.running.start_router(router.vm, router.data_centre)
        await self.running.publish_vms()
        for number in (1, 2, 3):
            await self.running.wait_until_ready(self.router(number))
