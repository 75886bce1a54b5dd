"""Tests of the gateway over real connections."""

import asyncio
import json
import unittest
import unittest.mock

import tornado.httpclient
import tornado.iostream
import tornado.testing

from dragonflydyke import errors
from dragonflydyke.configuration import model
from dragonflydyke.gateway import caller
from tests.builders import documents, gateway
from tests.builders.gateway_case import (
    GUARD_S,
    LOOKUP,
    NOT_CONFIRMED,
    PRINT,
    GatewayTestCase,
    fail_at,
)


class ChatTest(GatewayTestCase):
    """Guards the answers, bills and sessions of chat completions."""

    async def test_whole_answer(self) -> None:
        self.play([gateway.build_completion()])
        response = await self.fetch(max_tokens=9_999)
        self.assertEqual(response.code, 200)
        extra = json.loads(response.body)["dragonflydyke"]
        (bill,) = self.bills
        self.assertEqual(bill.outcome, "completed")
        self.assertEqual(bill.cost, 100 + 2_000)
        self.assertEqual(extra["cost"], bill.cost)
        self.assertEqual(extra["bill_id"], bill.bill_id)
        admission = self.services.limiter.admit.return_value
        admission.release.assert_called_once_with(3_000)
        sent = json.loads(self.services.backends.requests[0].body)
        self.assertEqual(sent["model"], "planner-small@v1")
        self.assertEqual(sent["max_tokens"], 1_024)

    async def test_same_key_same_bill_id(self) -> None:
        # Guards against billing a retry of the caller twice, and against
        # billing different requests with one key only once.
        key = {"Idempotency-Key": "k"}
        for fields in ({}, {}, {"user": "other"}):
            self.play([gateway.build_completion()])
            await self.fetch(headers=key, **fields)
        ids = [bill.bill_id for bill in self.bills]
        self.assertEqual(ids[0], ids[1])
        self.assertNotEqual(ids[0], ids[2])

    async def test_stream_end_waits_for_bill(self) -> None:
        # Guards against an end marker for a request that is not billed.
        self.services.bills.gate.clear()
        self.play(gateway.build_stream("a", "b"))
        reader, writer = await self.open_stream()
        async with asyncio.timeout(GUARD_S):
            await self.services.bills.entered.wait()
            before = await reader.readuntil(b'"b"')
            self.services.bills.gate.set()
            after = await reader.readuntil(b"[DONE]")
        writer.close()
        self.assertNotIn(b"stop", before)
        self.assertIn(b'"a"', before)
        self.assertEqual(len(self.bills), 1)
        self.assertIn(b'"dragonflydyke":', after)
        self.assertNotIn(b'"usage"', after)

    async def test_events_are_not_delayed(self) -> None:
        # Guards against an event that waits 40 ms for the acknowledgement of
        # the one before.
        gate = asyncio.Event()
        parts = gateway.build_stream("a")
        self.play([parts[0], gate, *parts[1:]])
        with unittest.mock.patch.object(
            tornado.iostream.IOStream, "set_nodelay"
        ) as set_nodelay:
            reader, writer = await self.open_stream()
            async with asyncio.timeout(GUARD_S):
                await reader.readuntil(b'"a"')
                set_nodelay.assert_called_with(True)
                gate.set()
                await reader.readuntil(b"[DONE]")
        writer.close()

    async def test_usage_only_if_asked_for(self) -> None:
        for include in (False, True):
            self.play(gateway.build_stream("a"))
            options = {"include_usage": include}
            response = await self.fetch(stream=True, stream_options=options)
            self.assertEqual(b'"usage"' in response.body, include)
            self.assertTrue(response.body.endswith(b"data: [DONE]\n\n"))
            sent = json.loads(self.services.backends.requests[-1].body)
            self.assertTrue(sent["stream_options"]["include_usage"])
        self.assertEqual({bill.cost for bill in self.bills}, {2_100})

    async def test_broken_stream(self) -> None:
        # Guards against a caller that takes a cut answer for a whole one.
        first = gateway.build_event("a")
        for parts, code in (
            ([first, fail_at(errors.Step.READ_ANSWER)], "backend_unavailable"),
            ([first], "answer_incomplete"),
            ([first, b'data: {"error": {}}\n\n'], "backend_failed"),
        ):
            with self.subTest(code):
                self.play(parts)
                response = await self.fetch(stream=True)
                self.assertNotIn(b"[DONE]", response.body)
                last = response.body.strip().split(b"\n\n")[-1]
                error = json.loads(last.removeprefix(b"data: "))["error"]
                self.assertEqual(error["code"], code)
                self.assertEqual(error["execution"], "unknown")
                bill = self.bills[-1]
                self.assertEqual((bill.outcome, bill.cost), ("failed", 0))
        self.assertEqual(len(self.services.backends.requests), 3)

    async def test_broken_link_is_resumed(self) -> None:
        # Guards against lost and repeated events when a link breaks.
        lost = gateway.build_error(
            "backend_connection_lost",
            "read_answer",
            502,
            errors.Execution.UNKNOWN,
        )
        whole = gateway.build_stream("a", "b", "c")
        self.play([whole[0], whole[1][:9], lost])
        self.services.backends.resumes = [
            lost,
            gateway.ScriptedAnswer(whole[1:]),
        ]
        response = await self.fetch(stream=True)
        self.assertEqual(self.services.backends.resumed_from, [1, 1])
        events = [e for e in whole[:3] if e in response.body]
        self.assertEqual(events, whole[:3])
        self.assertEqual(response.body.count(b'"content": "b"'), 1)
        self.assertTrue(response.body.endswith(b"data: [DONE]\n\n"))
        self.assertEqual([b.outcome for b in self.bills], ["completed"])

    async def test_stream_that_the_engine_forgot(self) -> None:
        # Guards against an end marker after a gap, and endless resumes.
        lost = gateway.build_error(
            "backend_connection_lost",
            "read_answer",
            502,
            errors.Execution.UNKNOWN,
        )
        for resumes, count in (
            ([gateway.ScriptedAnswer([b"{}"], status=404)], 1),
            ([lost, lost], 2),
        ):
            self.play([gateway.build_event("a"), lost])
            self.services.backends.resumes = resumes
            self.services.backends.resumed_from.clear()
            response = await self.fetch(stream=True)
            self.assertNotIn(b"[DONE]", response.body)
            self.assertIn(b"backend_connection_lost", response.body)
            resumed_from = self.services.backends.resumed_from
            self.assertEqual(resumed_from, [1] * count)
            self.assertEqual(self.bills[-1].outcome, "failed")

    async def test_disconnect_cancels(self) -> None:
        answer = gateway.ScriptedAnswer(
            [gateway.build_event("a"), asyncio.Event()]
        )
        self.play(answer)
        reader, writer = await self.open_stream()
        async with asyncio.timeout(GUARD_S):
            await reader.readuntil(b'"a"')
            writer.close()
            await answer.closed.wait()
            await self.services.tracker.wait_idle()
        (bill,) = self.bills
        self.assertEqual(bill.outcome, "cancelled")
        self.assertEqual(bill.cost, 100 + 10)

    async def test_disconnect_while_bill_is_recorded(self) -> None:
        # Guards against a second bill for a request that was complete.
        self.services.bills.gate.clear()
        self.play(gateway.build_stream("a"))
        _, writer = await self.open_stream()
        async with asyncio.timeout(GUARD_S):
            await self.services.bills.entered.wait()
            writer.close()
            await self.services.counters.wait("caller.disconnected")
            self.services.bills.gate.set()
            await self.services.tracker.wait_idle()
        self.assertEqual([b.outcome for b in self.bills], ["completed"])

    async def test_slow_caller_is_cut(self) -> None:
        # Guards against answers that pile up in memory for a slow caller.
        event = gateway.build_event("a" * 100_000)
        answer = gateway.ScriptedAnswer([event] * 300)
        self.play(answer)
        with unittest.mock.patch.object(caller, "SLOW_CALLER_TIMEOUT_S", 0.05):
            _, writer = await self.open_stream()
            async with asyncio.timeout(GUARD_S):
                await answer.closed.wait()
                await self.services.tracker.wait_idle()
        writer.close()
        self.assertEqual(self.services.counters.total("caller.too_slow"), 1)
        self.assertEqual([b.outcome for b in self.bills], ["cancelled"])

    async def test_deadline(self) -> None:
        answer = gateway.ScriptedAnswer([asyncio.Event()])
        self.play(answer)
        asking = asyncio.create_task(
            self.fetch(headers={"Dragonflydyke-Deadline-Ms": "60000"})
        )
        # The deadline passes after the dispatch, however slow the machine is.
        await self.services.backends.opened.wait()
        self.loop.skip(61.0)
        response = await asking
        self.check_error(response, 504, "deadline_exceeded", "unknown")
        self.assertTrue(answer.closed.is_set())
        self.assertEqual([b.outcome for b in self.bills], ["failed"])

    async def test_session(self) -> None:
        self.play([gateway.build_completion()], [gateway.build_completion()])
        new = await self.fetch(headers={"Dragonflydyke-Session": "new"})
        token = new.headers["Dragonflydyke-Session"]
        retiring = documents.build_version(state=model.VersionState.RETIRING)
        small = (retiring, documents.build_version("v2"))
        self.put(models=(model.Model("planner-small", small),))
        # Guards against a session that moves to the new version.
        pinned = await self.fetch(headers={"Dragonflydyke-Session": token})
        version = pinned.headers["Dragonflydyke-Version"]
        self.assertEqual(version, "planner-small@v1")

    async def test_counts_of_a_roll_out(self) -> None:
        # Guards against a roll-out that goes on although the version fails.
        stop = model.StopCondition(1, 0.0, 0.5)
        step = model.RolloutStep(0.5, 1.0)
        roll_out = model.Rollout(
            "r", "planner-small", "v1", "v2", (step,), stop
        )
        self.put(roll_outs=(roll_out,))
        self.play(
            [gateway.build_completion()],
            [b"broken"],
            fail_at(errors.Step.CONNECT),
        )
        for _ in range(2):
            await self.fetch()
        count = self.services.version_counts.count("r", "v1")
        self.assertEqual((count.requests, count.failures), (2, 1))

    async def test_models(self) -> None:
        response = await self.fetch("/v1/models", method="GET")
        names = [entry["id"] for entry in json.loads(response.body)["data"]]
        self.assertEqual(names[:2], ["planning", "planner-small"])
        self.assertIn("planner-large@v1", names)


class RetryTest(GatewayTestCase):
    """Guards what is retried, and what the caller is told otherwise."""

    async def test_steps(self) -> None:
        # An attempt that did not run is not on the bill.
        for step, attempts in (
            (errors.Step.CONNECT, 1),
            (errors.Step.SEND, 2),
            (errors.Step.AWAIT_ANSWER, 2),
            (errors.Step.READ_ANSWER, 2),
        ):
            with self.subTest(step):
                self.play(fail_at(step), [gateway.build_completion()])
                self.assertEqual((await self.fetch()).code, 200)
                self.assertEqual(len(self.bills[-1].attempts), attempts)
        total = self.services.counters.total("retry.backend_unavailable")
        self.assertEqual(total, 4)

    async def test_all_connections_refused(self) -> None:
        self.play(fail_at(errors.Step.CONNECT), fail_at(errors.Step.CONNECT))
        response = await self.fetch()
        self.check_error(response, 502, "backend_unavailable")
        self.assertEqual(self.bills, [])

    async def test_permit_lost_between_attempts(self) -> None:
        # Guards against a retry by a process that was paused in between.
        self.services.permit.check.side_effect = [None, None, NOT_CONFIRMED]
        self.play(fail_at(errors.Step.CONNECT))
        self.check_error(await self.fetch(), 503, "not_confirmed")
        self.assertEqual(len(self.services.backends.requests), 1)

    async def test_unknown_then_not_run_is_unknown(self) -> None:
        # Guards against "not run" for a request whose first attempt may have
        # run.
        self.play(
            fail_at(errors.Step.READ_ANSWER), fail_at(errors.Step.CONNECT)
        )
        response = await self.fetch()
        self.check_error(response, 502, "backend_unavailable", "unknown")
        self.assertEqual([b.outcome for b in self.bills], ["failed"])

    async def test_answers_of_engines(self) -> None:
        self.play(gateway.ScriptedAnswer([b"bad"], status=400))
        self.check_error(await self.fetch(), 400, "backend_rejected")
        self.assertEqual(len(self.services.backends.requests), 1)
        self.put(policy=model.Policy(max_attempts=1))
        for given, body, status, code, execution in (
            (400, b"bad", 400, "backend_rejected", "not run"),
            (429, b"full", 503, "backend_refused", "not run"),
            (500, b"", 502, "backend_failed", "unknown"),
            (200, b"[]", 502, "answer_invalid", "unknown"),
            (200, b"x" * 16_000_001, 502, "answer_too_long", "unknown"),
        ):
            with self.subTest(code):
                self.play(gateway.ScriptedAnswer([body], status=given))
                self.check_error(await self.fetch(), status, code, execution)
        self.assertEqual([b.cost for b in self.bills], [0, 0, 0])
        # A fault of the program after the dispatch: the script is empty.
        response = await self.fetch()
        self.check_error(response, 500, "internal_error", "unknown")

    async def test_budget(self) -> None:
        while self.services.retry_budget.try_spend():
            pass
        self.play(fail_at(errors.Step.READ_ANSWER))
        response = await self.fetch()
        self.check_error(response, 502, "backend_unavailable", "unknown")
        total = self.services.counters.total("retry_budget.exhausted")
        self.assertEqual(total, 1)

    async def test_version_withdrawn_between_attempts(self) -> None:
        # Guards against a retry on a version that was withdrawn meanwhile.
        answer = gateway.ScriptedAnswer([], status=500)
        answer.close = self._withdraw
        self.play(answer)
        response = await self.fetch()
        self.check_error(response, 503, "no_version_available", "unknown")
        self.assertEqual(len(self.services.backends.requests), 1)
        self.assertEqual([b.outcome for b in self.bills], ["failed"])

    async def _withdraw(self) -> None:
        version = documents.build_version(state=model.VersionState.WITHDRAWN)
        self.put(models=(model.Model("planner-small", (version,)),))


class CascadeTest(GatewayTestCase):
    """Guards cascades: one answer, one bill with the cost of all stages."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        accept = unittest.mock.AsyncMock(return_value=False)
        self.services.check = unittest.mock.Mock(accept=accept)

    async def test_rejected_stage(self) -> None:
        for stream in (False, True):
            if stream:
                self.play(gateway.build_stream("x"), gateway.build_stream("y"))
            else:
                small = gateway.build_completion("x")
                self.play([small], [gateway.build_completion("y")])
            response = await self.fetch(model="planning", stream=stream)
            self.assertNotIn(b'"x"', response.body)
            self.assertIn(b'"y"', response.body)
            version = response.headers["Dragonflydyke-Version"]
            self.assertEqual(version, "planner-large@v1")
            bill = self.bills[-1]
            outcomes = [str(a.outcome) for a in bill.attempts]
            self.assertEqual(outcomes, ["rejected", "completed"])
            self.assertEqual(bill.cost, 2_100 + 16_100)

    async def test_failure_after_rejection_has_run(self) -> None:
        small = gateway.build_completion("x")
        self.play(
            [small], fail_at(errors.Step.CONNECT), fail_at(errors.Step.CONNECT)
        )
        response = await self.fetch(model="planning")
        self.check_error(response, 502, "backend_unavailable", "ran")


class CallTest(GatewayTestCase):
    """Guards that a call which is not repeatable runs at most once."""

    async def print_label(self) -> tornado.httpclient.HTTPResponse:
        return await self.fetch(
            PRINT, body="{}", headers={"Idempotency-Key": "k"}
        )

    async def test_replay(self) -> None:
        self.play([b"printed"])
        for _ in range(2):
            self.assertEqual((await self.print_label()).body, b"printed")
        self.assertEqual(len(self.services.backends.requests), 1)
        self.assertEqual(len(self.bills), 1)

    async def test_stored_only_after_the_bill(self) -> None:
        # Guards against a replay whose bill died with the first router.
        self.services.bills.gate.clear()
        self.play([b"printed"])
        first = asyncio.ensure_future(self.print_label())
        async with asyncio.timeout(GUARD_S):
            await self.services.bills.entered.wait()
            response = await self.print_label()
            self.check_error(response, 409, "call_in_progress", "unknown")
            self.services.bills.gate.set()
            self.assertEqual((await first).body, b"printed")
        self.assertEqual((await self.print_label()).body, b"printed")
        self.assertEqual(len(self.bills), 1)

    async def test_unknown_outcome_blocks_the_key(self) -> None:
        self.play(fail_at(errors.Step.READ_ANSWER))
        response = await self.print_label()
        self.check_error(response, 502, "backend_unavailable", "unknown")
        response = await self.print_label()
        self.check_error(response, 409, "call_in_progress", "unknown")
        self.assertEqual(len(self.services.backends.requests), 1)

    async def test_not_run_frees_the_key(self) -> None:
        self.play(fail_at(errors.Step.CONNECT), [b"printed"])
        response = await self.print_label()
        self.check_error(response, 502, "backend_unavailable")
        self.assertEqual((await self.print_label()).body, b"printed")

    async def test_disconnect_lets_the_call_finish(self) -> None:
        # Guards against an unknown outcome by an impatient caller.
        go = asyncio.Event()
        self.play([b"printed", go])
        # Headers of `print_label`, whose request is the same.
        key = (
            "Idempotency-Key: k\r\n"
            "Content-Type: application/x-www-form-urlencoded\r\n"
        )
        _, writer = await self.send_raw(b"{}", extra=key, path=PRINT)
        async with asyncio.timeout(GUARD_S):
            await self.services.backends.opened.wait()
            writer.close()
            await self.services.counters.wait("caller.disconnected")
            go.set()
            await self.services.tracker.wait_idle()
        self.assertEqual([b.outcome for b in self.bills], ["completed"])
        # The stored response is replayed without a second dispatch.
        self.assertEqual((await self.print_label()).body, b"printed")
        self.assertEqual(len(self.services.backends.requests), 1)

    async def test_repeatable_call(self) -> None:
        self.play(fail_at(errors.Step.READ_ANSWER), [b"found"])
        path = f"{LOOKUP}?sku=7"
        response = await self.fetch(path, method="GET")
        # The document has one server of this service, so nothing is retried.
        self.check_error(response, 502, "backend_unavailable", "unknown")
        response = await self.fetch(path, method="GET")
        self.assertEqual(response.body, b"found")
        paths = {r.path for r in self.services.backends.requests}
        self.assertEqual(paths, {"/lookup?sku=7"})
