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
from dragonflydyke.gateway import response_writer
from tests.builders import documents, gateway
from tests.builders.gateway_case import (
    LOOKUP_PATH,
    NOT_CONFIRMED_ERROR,
    PRINT_PATH,
    TEST_TIMEOUT_S,
    GatewayTestCase,
    build_error_at,
)


class ChatTest(GatewayTestCase):
    """Guards the responses, bills and sessions of chat completions."""

    async def test_whole_response_is_billed_and_capped(self) -> None:
        self.script_responses([gateway.build_completion()])
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

    async def test_bill_id_depends_on_key_and_request(self) -> None:
        # Guards against billing a client's retry twice, and against billing
        # different requests with the same key only once.
        key = {"Idempotency-Key": "k"}
        for fields in ({}, {}, {"user": "other"}):
            self.script_responses([gateway.build_completion()])
            await self.fetch(headers=key, **fields)
        ids = [bill.bill_id for bill in self.bills]
        self.assertEqual(ids[0], ids[1])
        self.assertNotEqual(ids[0], ids[2])

    async def test_stream_end_is_sent_after_bill_is_recorded(self) -> None:
        # Guards against sending the end marker of a request that is not billed.
        self.services.bills.gate.clear()
        self.script_responses(gateway.build_stream_chunks("a", "b"))
        reader, writer = await self.open_stream()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await self.services.bills.record_started.wait()
            before = await reader.readuntil(b'"b"')
            self.services.bills.gate.set()
            after = await reader.readuntil(b"[DONE]")
        writer.close()
        self.assertNotIn(b"stop", before)
        self.assertIn(b'"a"', before)
        self.assertEqual(len(self.bills), 1)
        self.assertIn(b'"dragonflydyke":', after)
        self.assertNotIn(b'"usage"', after)

    async def test_events_are_sent_without_delay(self) -> None:
        # Guards against Nagle's algorithm, which delays an event by 40 ms until
        # the previous one is acknowledged.
        gate = asyncio.Event()
        parts = gateway.build_stream_chunks("a")
        self.script_responses([parts[0], gate, *parts[1:]])
        with unittest.mock.patch.object(
            tornado.iostream.IOStream, "set_nodelay"
        ) as set_nodelay:
            reader, writer = await self.open_stream()
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await reader.readuntil(b'"a"')
                set_nodelay.assert_called_with(True)
                gate.set()
                await reader.readuntil(b"[DONE]")
        writer.close()

    async def test_usage_is_sent_only_if_requested(self) -> None:
        for include in (False, True):
            self.script_responses(gateway.build_stream_chunks("a"))
            options = {"include_usage": include}
            response = await self.fetch(stream=True, stream_options=options)
            self.assertEqual(b'"usage"' in response.body, include)
            self.assertTrue(response.body.endswith(b"data: [DONE]\n\n"))
            sent = json.loads(self.services.backends.requests[-1].body)
            self.assertTrue(sent["stream_options"]["include_usage"])
        self.assertEqual({bill.cost for bill in self.bills}, {2_100})

    async def test_incomplete_stream_ends_with_error(self) -> None:
        # Guards against a client mistaking a truncated response for a complete
        # one.
        first = gateway.build_chunk_event("a")
        for parts, code in (
            (
                [first, build_error_at(errors.Step.READ_ANSWER)],
                "backend_unavailable",
            ),
            ([first], "answer_incomplete"),
            ([first, b'data: {"error": {}}\n\n'], "backend_failed"),
        ):
            with self.subTest(code):
                self.script_responses(parts)
                response = await self.fetch(stream=True)
                self.assertNotIn(b"[DONE]", response.body)
                last = response.body.strip().split(b"\n\n")[-1]
                error = json.loads(last.removeprefix(b"data: "))["error"]
                self.assertEqual(error["code"], code)
                self.assertEqual(error["execution"], "unknown")
                bill = self.bills[-1]
                self.assertEqual((bill.outcome, bill.cost), ("failed", 0))
        self.assertEqual(len(self.services.backends.requests), 3)

    async def test_stream_is_resumed_after_connection_loss(self) -> None:
        # Guards against lost and repeated events after a connection loss.
        connection_lost = gateway.build_retryable_error(
            "backend_connection_lost",
            "read_answer",
            502,
            errors.Execution.UNKNOWN,
        )
        whole = gateway.build_stream_chunks("a", "b", "c")
        self.script_responses([whole[0], whole[1][:9], connection_lost])
        self.services.backends.resume_responses = [
            connection_lost,
            gateway.ScriptedResponse(whole[1:]),
        ]
        response = await self.fetch(stream=True)
        self.assertEqual(self.services.backends.resume_indices, [1, 1])
        events = [e for e in whole[:3] if e in response.body]
        self.assertEqual(events, whole[:3])
        self.assertEqual(response.body.count(b'"content": "b"'), 1)
        self.assertTrue(response.body.endswith(b"data: [DONE]\n\n"))
        self.assertEqual([b.outcome for b in self.bills], ["completed"])

    async def test_stream_that_cannot_be_resumed_ends_with_error(self) -> None:
        # Guards against an end marker after missing events, and against
        # resuming without limit.
        connection_lost = gateway.build_retryable_error(
            "backend_connection_lost",
            "read_answer",
            502,
            errors.Execution.UNKNOWN,
        )
        for resume_responses, count in (
            ([gateway.ScriptedResponse([b"{}"], status=404)], 1),
            ([connection_lost, connection_lost], 2),
        ):
            self.script_responses(
                [gateway.build_chunk_event("a"), connection_lost]
            )
            self.services.backends.resume_responses = resume_responses
            self.services.backends.resume_indices.clear()
            response = await self.fetch(stream=True)
            self.assertNotIn(b"[DONE]", response.body)
            self.assertIn(b"backend_connection_lost", response.body)
            resume_indices = self.services.backends.resume_indices
            self.assertEqual(resume_indices, [1] * count)
            self.assertEqual(self.bills[-1].outcome, "failed")

    async def test_disconnect_cancels_request(self) -> None:
        scripted = gateway.ScriptedResponse(
            [gateway.build_chunk_event("a"), asyncio.Event()]
        )
        self.script_responses(scripted)
        reader, writer = await self.open_stream()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await reader.readuntil(b'"a"')
            writer.close()
            await scripted.closed.wait()
            await self.services.tracker.wait_until_idle()
        (bill,) = self.bills
        self.assertEqual(bill.outcome, "cancelled")
        self.assertEqual(bill.cost, 100 + 10)

    async def test_disconnect_during_billing_bills_once(self) -> None:
        # Guards against a second bill when the client disconnects while the
        # bill of a complete request is being recorded.
        self.services.bills.gate.clear()
        self.script_responses(gateway.build_stream_chunks("a"))
        _, writer = await self.open_stream()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await self.services.bills.record_started.wait()
            writer.close()
            await self.services.counters.wait("caller.disconnected")
            self.services.bills.gate.set()
            await self.services.tracker.wait_until_idle()
        self.assertEqual([b.outcome for b in self.bills], ["completed"])

    async def test_slow_client_is_disconnected(self) -> None:
        # Guards against responses that accumulate in memory for a slow client.
        event = gateway.build_chunk_event("a" * 100_000)
        scripted = gateway.ScriptedResponse([event] * 300)
        self.script_responses(scripted)
        with unittest.mock.patch.object(
            response_writer, "SLOW_CALLER_TIMEOUT_S", 0.05
        ):
            _, writer = await self.open_stream()
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await scripted.closed.wait()
                await self.services.tracker.wait_until_idle()
        writer.close()
        self.assertEqual(self.services.counters.total("caller.too_slow"), 1)
        self.assertEqual([b.outcome for b in self.bills], ["cancelled"])

    async def test_deadline_exceeded_after_dispatch(self) -> None:
        scripted = gateway.ScriptedResponse([asyncio.Event()])
        self.script_responses(scripted)
        fetching = asyncio.create_task(
            self.fetch(headers={"Dragonflydyke-Deadline-Ms": "60000"})
        )
        # Ensures that the deadline passes only after the dispatch, even on a
        # slow machine.
        await self.services.backends.request_received.wait()
        self.loop.skip(61.0)
        response = await fetching
        self.check_error(response, 504, "deadline_exceeded", "unknown")
        self.assertTrue(scripted.closed.is_set())
        self.assertEqual([b.outcome for b in self.bills], ["failed"])

    async def test_session_stays_on_its_version(self) -> None:
        self.script_responses(
            [gateway.build_completion()], [gateway.build_completion()]
        )
        new = await self.fetch(headers={"Dragonflydyke-Session": "new"})
        token = new.headers["Dragonflydyke-Session"]
        retiring = documents.build_version(state=model.VersionState.RETIRING)
        small = (retiring, documents.build_version("v2"))
        self.replace_configuration(
            models=(model.Model("planner-small", small),)
        )
        # Guards against a session that is moved to the new version.
        pinned = await self.fetch(headers={"Dragonflydyke-Session": token})
        version = pinned.headers["Dragonflydyke-Version"]
        self.assertEqual(version, "planner-small@v1")

    async def test_failures_are_counted_for_rollout(self) -> None:
        # Guards against a rollout that continues although its version fails.
        stop = model.StopCondition(1, 0.0, 0.5)
        step = model.RolloutStep(0.5, 1.0)
        roll_out = model.Rollout(
            "r", "planner-small", "v1", "v2", (step,), stop
        )
        self.replace_configuration(roll_outs=(roll_out,))
        self.script_responses(
            [gateway.build_completion()],
            [b"broken"],
            build_error_at(errors.Step.CONNECT),
        )
        for _ in range(2):
            await self.fetch()
        count = self.services.version_counts.get_count("r", "v1")
        self.assertEqual((count.requests, count.failures), (2, 1))

    async def test_model_list_of_account(self) -> None:
        response = await self.fetch("/v1/models", method="GET")
        names = [entry["id"] for entry in json.loads(response.body)["data"]]
        self.assertEqual(names[:2], ["planning", "planner-small"])
        self.assertIn("planner-large@v1", names)


class RetryTest(GatewayTestCase):
    """Guards which failures are retried, and which errors are reported."""

    async def test_failure_at_each_step_is_retried(self) -> None:
        # The bill lists only attempts that may have run.
        for step, attempts in (
            (errors.Step.CONNECT, 1),
            (errors.Step.SEND, 2),
            (errors.Step.AWAIT_ANSWER, 2),
            (errors.Step.READ_ANSWER, 2),
        ):
            with self.subTest(step):
                self.script_responses(
                    build_error_at(step), [gateway.build_completion()]
                )
                self.assertEqual((await self.fetch()).code, 200)
                self.assertEqual(len(self.bills[-1].attempts), attempts)
        total = self.services.counters.total("retry.backend_unavailable")
        self.assertEqual(total, 4)

    async def test_all_connections_refused_is_not_billed(self) -> None:
        self.script_responses(
            build_error_at(errors.Step.CONNECT),
            build_error_at(errors.Step.CONNECT),
        )
        response = await self.fetch()
        self.check_error(response, 502, "backend_unavailable")
        self.assertEqual(self.bills, [])

    async def test_no_retry_after_permit_is_lost(self) -> None:
        # Guards against a retry after the process was paused between attempts.
        self.services.permit.check.side_effect = [
            None,
            None,
            NOT_CONFIRMED_ERROR,
        ]
        self.script_responses(build_error_at(errors.Step.CONNECT))
        self.check_error(await self.fetch(), 503, "not_confirmed")
        self.assertEqual(len(self.services.backends.requests), 1)

    async def test_execution_covers_earlier_attempts(self) -> None:
        # Guards against reporting "not run" for a request whose first attempt
        # may have run.
        self.script_responses(
            build_error_at(errors.Step.READ_ANSWER),
            build_error_at(errors.Step.CONNECT),
        )
        response = await self.fetch()
        self.check_error(response, 502, "backend_unavailable", "unknown")
        self.assertEqual([b.outcome for b in self.bills], ["failed"])

    async def test_engine_responses_map_to_errors(self) -> None:
        self.script_responses(gateway.ScriptedResponse([b"bad"], status=400))
        self.check_error(await self.fetch(), 400, "backend_rejected")
        self.assertEqual(len(self.services.backends.requests), 1)
        self.replace_configuration(policy=model.Policy(max_attempts=1))
        for given, body, status, code, execution in (
            (400, b"bad", 400, "backend_rejected", "not run"),
            (429, b"full", 503, "backend_refused", "not run"),
            (500, b"", 502, "backend_failed", "unknown"),
            (200, b"[]", 502, "answer_invalid", "unknown"),
            (200, b"x" * 16_000_001, 502, "answer_too_long", "unknown"),
        ):
            with self.subTest(code):
                self.script_responses(
                    gateway.ScriptedResponse([body], status=given)
                )
                self.check_error(await self.fetch(), status, code, execution)
        self.assertEqual([b.cost for b in self.bills], [0, 0, 0])
        # An unexpected exception after the dispatch: no response is prepared.
        response = await self.fetch()
        self.check_error(response, 500, "internal_error", "unknown")

    async def test_no_retry_without_budget(self) -> None:
        while self.services.retry_budget.try_spend():
            pass
        self.script_responses(build_error_at(errors.Step.READ_ANSWER))
        response = await self.fetch()
        self.check_error(response, 502, "backend_unavailable", "unknown")
        total = self.services.counters.total("retry_budget.exhausted")
        self.assertEqual(total, 1)

    async def test_no_retry_on_withdrawn_version(self) -> None:
        # Guards against a retry on a version that was withdrawn after the first
        # attempt.
        scripted = gateway.ScriptedResponse([], status=500)
        scripted.close = self._withdraw_version
        self.script_responses(scripted)
        response = await self.fetch()
        self.check_error(response, 503, "no_version_available", "unknown")
        self.assertEqual(len(self.services.backends.requests), 1)
        self.assertEqual([b.outcome for b in self.bills], ["failed"])

    async def _withdraw_version(self) -> None:
        version = documents.build_version(state=model.VersionState.WITHDRAWN)
        self.replace_configuration(
            models=(model.Model("planner-small", (version,)),)
        )


class CascadeTest(GatewayTestCase):
    """Guards that a cascade sends one response and bills all its stages."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        accept = unittest.mock.AsyncMock(return_value=False)
        self.services.check = unittest.mock.Mock(accept=accept)

    async def test_rejected_stage_is_not_sent_but_billed(self) -> None:
        for stream in (False, True):
            if stream:
                self.script_responses(
                    gateway.build_stream_chunks("x"),
                    gateway.build_stream_chunks("y"),
                )
            else:
                small = gateway.build_completion("x")
                self.script_responses([small], [gateway.build_completion("y")])
            response = await self.fetch(model="planning", stream=stream)
            self.assertNotIn(b'"x"', response.body)
            self.assertIn(b'"y"', response.body)
            version = response.headers["Dragonflydyke-Version"]
            self.assertEqual(version, "planner-large@v1")
            bill = self.bills[-1]
            outcomes = [str(a.outcome) for a in bill.attempts]
            self.assertEqual(outcomes, ["rejected", "completed"])
            self.assertEqual(bill.cost, 2_100 + 16_100)

    async def test_failure_after_rejected_stage_states_ran(self) -> None:
        small = gateway.build_completion("x")
        self.script_responses(
            [small],
            build_error_at(errors.Step.CONNECT),
            build_error_at(errors.Step.CONNECT),
        )
        response = await self.fetch(model="planning")
        self.check_error(response, 502, "backend_unavailable", "ran")


class CallTest(GatewayTestCase):
    """Guards against a non-idempotent call that runs more than once."""

    async def print_label(self) -> tornado.httpclient.HTTPResponse:
        return await self.fetch(
            PRINT_PATH, body="{}", headers={"Idempotency-Key": "k"}
        )

    async def test_pause_of_a_service_is_kept(self) -> None:
        """The next call went to the server that had asked for a pause."""
        rejection = gateway.ScriptedResponse([b"busy"], status=503)
        rejection.headers["Retry-After"] = "4"
        self.services.backends.responses = [rejection]
        self.assertEqual((await self.print_label()).code, 503)
        response = await self.fetch(
            PRINT_PATH, body="{}", headers={"Idempotency-Key": "other"}
        )
        self.assertEqual(response.code, 503)
        self.assertEqual(len(self.services.backends.requests), 1)

    async def test_same_key_replays_response(self) -> None:
        self.script_responses([b"printed"])
        for _ in range(2):
            self.assertEqual((await self.print_label()).body, b"printed")
        self.assertEqual(len(self.services.backends.requests), 1)
        self.assertEqual(len(self.bills), 1)

    async def test_response_is_stored_after_bill_is_durable(self) -> None:
        # Guards against replaying a response whose bill was lost when the first
        # router died.
        self.services.bills.gate.clear()
        self.script_responses([b"printed"])
        first = asyncio.ensure_future(self.print_label())
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await self.services.bills.record_started.wait()
            response = await self.print_label()
            self.check_error(response, 409, "call_in_progress", "unknown")
            self.services.bills.gate.set()
            self.assertEqual((await first).body, b"printed")
        self.assertEqual((await self.print_label()).body, b"printed")
        self.assertEqual(len(self.bills), 1)

    async def test_unknown_outcome_blocks_key(self) -> None:
        self.script_responses(build_error_at(errors.Step.READ_ANSWER))
        response = await self.print_label()
        self.check_error(response, 502, "backend_unavailable", "unknown")
        response = await self.print_label()
        self.check_error(response, 409, "call_in_progress", "unknown")
        self.assertEqual(len(self.services.backends.requests), 1)

    async def test_not_run_releases_key(self) -> None:
        self.script_responses(build_error_at(errors.Step.CONNECT), [b"printed"])
        response = await self.print_label()
        self.check_error(response, 502, "backend_unavailable")
        self.assertEqual((await self.print_label()).body, b"printed")

    async def test_call_finishes_after_disconnect(self) -> None:
        # Guards against an unknown outcome when the client disconnects early.
        go = asyncio.Event()
        self.script_responses([b"printed", go])
        # The same headers as those of `print_label`, so that the digests of
        # the two requests are equal.
        key = (
            "Idempotency-Key: k\r\n"
            "Content-Type: application/x-www-form-urlencoded\r\n"
        )
        _, writer = await self.send_raw(
            b"{}", extra_headers=key, path=PRINT_PATH
        )
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await self.services.backends.request_received.wait()
            writer.close()
            await self.services.counters.wait("caller.disconnected")
            go.set()
            await self.services.tracker.wait_until_idle()
        self.assertEqual([b.outcome for b in self.bills], ["completed"])
        # The stored response is replayed without a second dispatch.
        self.assertEqual((await self.print_label()).body, b"printed")
        self.assertEqual(len(self.services.backends.requests), 1)

    async def test_repeatable_call_needs_no_key(self) -> None:
        self.script_responses(
            build_error_at(errors.Step.READ_ANSWER), [b"found"]
        )
        path = f"{LOOKUP_PATH}?sku=7"
        response = await self.fetch(path, method="GET")
        # The service has only one server, so the call is not retried.
        self.check_error(response, 502, "backend_unavailable", "unknown")
        response = await self.fetch(path, method="GET")
        self.assertEqual(response.body, b"found")
        paths = {r.path for r in self.services.backends.requests}
        self.assertEqual(paths, {"/lookup?sku=7"})
