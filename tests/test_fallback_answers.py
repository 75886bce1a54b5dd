"""Tests of the held stream while the largest model is tried."""

import asyncio
import unittest

from dragonflydyke.forwarding import model, response_memory, selection
from dragonflydyke.scheduling import fallbacks
from tests.builders import forwarding, scripted_servers, skipping_loop

_EVENTS = 3
_PAUSE_S = 0.05
# Runs of requests that ended are cancelled within this time, long before their
# deadlines.
_CLOSE_S = 3.0
_ENGINE = model.EngineCapacity(
    slots=8, memory_tokens=90_000, tokens_per_event=10
)


class FallbackAnswerTest(forwarding.ForwardingTestCase):
    """Guards against requests that fail although they had an answer.

    The response of the smallest model was discarded before the largest model
    had begun, and 165 of 909 requests of one kind ended without any response.
    """

    async def asyncSetUp(self) -> None:
        """Starts an engine whose smallest model has low confidence."""
        await super().asyncSetUp()
        self.configure()
        self.models: list[str] = []
        self.urgencies: list[int] = []
        self.running = self.max_running = 0
        self.release = asyncio.Event()
        self.small = _send_answer
        self.large = _hang
        self.engine = await self.start_server("a", self.run_model)
        self.addAsyncCleanup(self.check_nothing_left)

    def configure(self, **route: object) -> None:
        """Puts a route with three models in force."""
        self.forwarder.policy = forwarding.build_policy(
            forwarding.build_route(models=forwarding.MODELS, **route),
            engine=_ENGINE,
        )

    async def check_nothing_left(self) -> None:
        """Checks that no run, memory or load of a server is left over."""
        self.assertLessEqual(self.max_running, 2)
        async with asyncio.timeout(_CLOSE_S):
            await skipping_loop.wait_until(lambda: not self.running)
        self.assertEqual(self.response_memory.used_bytes, 0)
        profile = selection.RequestProfile(model.Pool("engines"))
        for server in self.directory.list_usable("engines"):
            found = self.services.selector.select_server(
                profile, (server,), self.loop.time(), []
            )
            self.assertEqual(found.in_flight if found else 0, 0)

    async def wait_cancelled(self, count: int) -> None:
        """Waits until the engine saw some requests cancelled."""
        async with asyncio.timeout(_CLOSE_S):
            await skipping_loop.wait_until(
                lambda: self.engine.cancelled == count
            )

    async def run_model(self, request, writer) -> None:
        """Runs the script of the requested model, at most two at a time."""
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            self.models.append(request.headers["Model"])
            self.urgencies.append(int(request.headers["Request-Urgency"]))
            is_small = self.models[-1] == "small"
            await (self.small if is_small else self.large)(request, writer)
        finally:
            self.running -= 1

    def check_answer(
        self, response: forwarding.ClientResponse, reason: str
    ) -> None:
        """Checks that the answer in hand was delivered whole."""
        self.assertEqual((response.status, response.is_complete), (200, True))
        self.assertEqual(response.headers["Confidence"], "20")
        self.assertEqual(response.body.count(b"id: "), _EVENTS)
        name = f"fallback.delivered.{reason}"
        self.assertEqual(self.counters.total(name), 1, self.counters.totals())

    async def test_each_failure_of_the_largest_model(self) -> None:
        async def lose(request, writer) -> None:
            scripted_servers.reset(writer)

        async def forge(request, writer) -> None:
            request.headers["Attempt-Id"] = "r2"
            await _send_best(request, writer)

        async def comment(request, writer) -> None:
            scripted_servers.write_stream_start(request, writer)
            scripted_servers.write_chunk(writer, b": ping\n\n")
            await writer.drain()
            scripted_servers.reset(writer)

        for script, reason in (
            (_respond("500 Internal Server Error"), "failed"),
            (_respond("400 Bad Request"), "failed"),
            (_respond("503 Service Unavailable", Not_Executed="1"), "not_run"),
            (lose, "lost"),
            (forge, "lost"),
            (comment, "lost"),
        ):
            with self.subTest(script=script):
                self.large = script
                before = self.counters.total(f"fallback.delivered.{reason}")
                response = await self.fetch(Model="*")
                after = self.counters.total(f"fallback.delivered.{reason}")
                self.assertEqual(after - before, 1)
                self.assertEqual(response.headers["Confidence"], "20")
                self.assertEqual(response.body.count(b"id: "), _EVENTS)
                self.assertTrue(response.is_complete)

    async def test_lost_attempt_is_repeated_while_time_is_left(self) -> None:
        async def lose_once(request, writer) -> None:
            self.large = _send_best
            scripted_servers.reset(writer)

        self.large = lose_once
        response = await self.fetch(Model="*")
        self.assertEqual(response.headers["Confidence"], "100")
        self.assertEqual(self.models, ["small", "large", "large"])
        self.assertEqual(self.counters.total("fallback.kept"), 1)
        self.assertEqual(self.counters.total("fallback.discarded"), 1)

    async def test_servers_that_disappear(self) -> None:
        async def vanish(request, writer) -> None:
            self.directory.update((), self.loop.time(), after_outage=False)
            scripted_servers.reset(writer)

        self.large = vanish
        self.check_answer(await self.fetch(Model="*"), "no_server")

    async def wait_for_large(self, skip_s: float, **headers: str):
        """Returns the response after some time without the largest model."""
        reader, _ = await self.send(Model="*", **headers)
        await skipping_loop.wait_until(lambda: len(self.models) == 2)
        self.loop.skip(skip_s)
        async with asyncio.timeout_at(self.loop.time() + 1.0):
            return await forwarding.read_response(reader)

    async def test_deadline_that_is_near(self) -> None:
        self.configure(target_latency_s=8.0)
        self.check_answer(await self.wait_for_large(9.71), "deadline_near")

    async def test_client_that_gives_up_streams_without_events(self) -> None:
        """Its patience ends after 2 s, long before the deadline."""
        self.configure(
            target_latency_s=0.5, max_event_gap_s=0.1, max_attempts=2
        )
        self.check_answer(await self.wait_for_large(1.75), "deadline_near")

    async def test_answer_that_cannot_finish_is_not_begun(self) -> None:
        """Requests were still streaming when their deadline passed."""
        response = await self.wait_for_large(
            9.0, Token_Count="100,400", Length_Hint="300"
        )
        self.check_answer(response, "deadline_near")

    async def test_first_event_decides_with_the_observed_gap(self) -> None:
        async def begin(request, writer) -> None:
            scripted_servers.write_stream_start(
                request, writer, Confidence="100"
            )
            self.services.pace.observe_gap(
                "engines", "large", 0.5, self.loop.time()
            )
            scripted_servers.write_event(writer, 1)
            await _hang(request, writer)

        self.large = begin
        response = await self.fetch(Model="*", Token_Count="100,300")
        self.check_answer(response, "cannot_finish")

    async def test_request_that_is_not_started_moves(self) -> None:
        """One waited 13.8 s in the queue of an engine that never began."""
        await self.start_server("b", self.run_model)
        reader, _ = await self.send(Model="*", Token_Count="8000,50")
        await skipping_loop.wait_until(lambda: len(self.models) == 2)
        self.large = _send_best
        (full,) = (
            scripted
            for scripted in self.servers.values()
            if any(r.headers["Model"] == "large" for r in scripted.received)
        )
        full.report = scripted_servers.build_report(waiting=6)
        self.loop.skip(3.1)
        response = await forwarding.read_response(reader)
        self.assertEqual(response.headers["Confidence"], "100")
        self.assertEqual(self.counters.total("unstarted.move"), 1)
        first, second = self.urgencies[1:]
        self.assertLess(second, first)

    async def test_busy_engine_is_compared_with_others_once(self) -> None:
        """Each report is a call to an engine, which delays its work."""
        others = [await self.start_server(n, self.run_model) for n in "bc"]
        engines = [self.engine, *others]
        self.configure(max_attempts=4)
        await self.send(Model="*", Token_Count="8000,50", Deadline_Ms="20000")
        await skipping_loop.wait_until(lambda: len(self.models) == 2)
        for engine in engines:
            engine.report = scripted_servers.build_report(waiting=6)

        def count_calls() -> int:
            return sum(engine.report_calls for engine in engines)

        async def review(reviews: int) -> int:
            before = count_calls()
            # The node waits for the response again before time passes.
            await asyncio.sleep(_PAUSE_S)
            self.loop.skip(3.1)
            await skipping_loop.wait_until(
                lambda: self.counters.total("unstarted.wait") == reviews
            )
            return count_calls() - before

        planned = count_calls()
        self.loop.skip(1.6)
        await asyncio.sleep(_PAUSE_S)
        self.assertEqual(count_calls(), planned)
        self.assertGreater(await review(1), 1)
        self.assertEqual(await review(2), 1)

    async def test_node_that_stops(self) -> None:
        reader, _ = await self.send(Model="*")
        await skipping_loop.wait_until(lambda: len(self.models) == 2)
        await self.server.stop()
        response = await forwarding.read_response(reader)
        self.check_answer(response, "node_stopped")

    async def begin_slowly(self, request, writer) -> None:
        """Sends one event of the smallest model, the rest after `release`."""
        _begin_answer(request, writer, 1)
        await writer.drain()
        await self.release.wait()
        for event_id in range(2, _EVENTS + 1):
            scripted_servers.write_event(writer, event_id)
        scripted_servers.write_chunk(writer, b"")
        await writer.drain()

    async def crash_later(self, request, writer) -> None:
        """Sends one event of the smallest model, and is lost at `release`."""
        _begin_answer(request, writer, 1)
        await writer.drain()
        await self.release.wait()
        scripted_servers.reset(writer)

    async def begin_both(self, small=None):
        """Returns a client whose request runs at both models."""
        self.small = small or self.begin_slowly
        reader, writer = await self.send(Model="*")
        await skipping_loop.wait_until(lambda: self.running == 2)
        return reader, writer

    async def test_slow_held_stream_delays_nothing(self) -> None:
        """Reading it to its end first cost a second before the escalation.

        It ends with the first event of the largest model, not with its last.
        """

        async def continue_alone(request, writer) -> None:
            scripted_servers.write_stream_start(
                request, writer, Confidence="100"
            )
            scripted_servers.write_event(writer, 1)
            await writer.drain()
            await skipping_loop.wait_until(lambda: self.engine.cancelled)
            scripted_servers.write_chunk(writer, b"")
            await writer.drain()

        self.small, self.large = self.begin_slowly, continue_alone
        response = await self.fetch(Model="*")
        self.assertEqual(response.headers["Confidence"], "100")
        self.assertEqual(self.models, ["small", "large"])
        self.assertEqual(self.max_running, 2)
        self.assertEqual(self.engine.cancelled, 1)
        self.assertEqual(self.counters.total("fallback.discarded"), 1)

    async def test_held_stream_is_relayed_before_it_is_complete(self) -> None:
        self.configure(target_latency_s=8.0)
        reader, _ = await self.begin_both()
        self.loop.skip(9.71)
        head = await reader.readuntil(b"id: 1\ndata: piece\n\n")
        self.assertIn(b"Confidence: 20", head)
        await skipping_loop.wait_until(lambda: self.engine.cancelled)
        self.release.set()
        rest = await reader.readuntil(b"0\r\n\r\n")
        self.assertEqual(rest.count(b"id: "), _EVENTS - 1)
        delivered = self.counters.total("fallback.delivered.deadline_near")
        self.assertEqual(delivered, 1)

    async def test_relayed_stream_that_is_lost_is_resumed(self) -> None:
        async def resume(request, writer) -> None:
            self.assertEqual(request.headers["Last-Event-Id"], "1")
            _begin_answer(request, writer, 2, 3)
            scripted_servers.write_chunk(writer, b"")
            await writer.drain()

        self.configure(target_latency_s=8.0)
        reader, _ = await self.begin_both(self.crash_later)
        self.loop.skip(9.71)
        await reader.readuntil(b"id: 1\ndata: piece\n\n")
        self.small = resume
        self.release.set()
        rest = await reader.readuntil(b"0\r\n\r\n")
        self.assertEqual(rest.count(b"id: "), _EVENTS - 1)
        self.assertEqual(self.models, ["small", "large", "small"])
        self.assertEqual(self.counters.total("fallback.failed.lost"), 1)

    async def test_both_models_fail(self) -> None:
        """The request ends as it does without a held stream."""

        async def lose_both(request, writer) -> None:
            self.release.set()
            await skipping_loop.wait_until(
                lambda: self.counters.total("fallback.not_kept.lost")
            )
            scripted_servers.reset(writer)

        self.small, self.large = self.crash_later, lose_both
        response = await self.fetch(Model="*")
        self.assertEqual(response.status, 502)
        self.assertEqual(self.models, ["small", "large", "large"])

    async def test_engine_of_the_held_stream_crashes(self) -> None:
        """The largest model goes on, and is not hurried by the deadline."""

        async def begin_late(request, writer) -> None:
            await skipping_loop.wait_until(lambda: len(self.models) == 3)
            await _send_best(request, writer)

        self.configure(target_latency_s=8.0)
        self.large = begin_late
        reader, _ = await self.begin_both(self.crash_later)
        self.release.set()
        await skipping_loop.wait_until(
            lambda: self.counters.total("fallback.not_kept.lost")
        )
        self.loop.skip(9.71)
        await asyncio.sleep(_PAUSE_S)
        self.models.append("late")
        response = await forwarding.read_response(reader)
        self.assertEqual(response.headers["Confidence"], "100")

    async def test_client_that_leaves_cancels_both(self) -> None:
        _, writer = await self.begin_both()
        writer.close()
        await self.wait_cancelled(2)
        self.assertEqual(self.models, ["small", "large"])

    async def test_client_that_leaves_during_the_relay(self) -> None:
        self.configure(target_latency_s=8.0)
        reader, writer = await self.begin_both()
        self.loop.skip(9.71)
        await reader.readuntil(b"id: 1\ndata: piece\n\n")
        writer.close()
        await self.wait_cancelled(2)
        self.assertEqual(self.models, ["small", "large"])

    async def test_node_that_stops_with_both_open(self) -> None:
        reader, _ = await self.begin_both()
        await self.server.stop()
        response = await forwarding.read_response(reader)
        self.assertEqual((response.status, response.is_complete), (502, True))
        await self.wait_cancelled(2)

    async def test_memory_that_is_used_up(self) -> None:
        """The request is escalated as it is without a held stream."""
        self.small, self.large = self.begin_slowly, _send_best
        other = response_memory.Reservation(self.response_memory)
        self.assertTrue(other.resize(response_memory.MAX_OPTIONAL_BYTES - 40))
        response = await self.fetch(Model="*")
        self.assertEqual(response.headers["Confidence"], "100")
        self.assertEqual(self.models, ["small", "large"])
        self.assertEqual(self.counters.total("fallback.not_kept.memory"), 1)
        await self.wait_cancelled(1)
        other.release()

    async def test_response_that_is_not_whole_is_not_kept(self) -> None:
        """The request continues as it does without an answer in hand."""

        async def crash(request, writer) -> None:
            _begin_answer(request, writer, 1)
            await writer.drain()
            # A reset discards what the node has not read.
            await asyncio.sleep(_PAUSE_S)
            scripted_servers.reset(writer)

        async def disorder(request, writer) -> None:
            _begin_answer(request, writer, 1, 3)
            scripted_servers.write_chunk(writer, b"")

        async def tear(request, writer) -> None:
            _begin_answer(request, writer, 1)
            scripted_servers.write_chunk(writer, b"id: 2")
            scripted_servers.write_chunk(writer, b"")

        async def forge(request, writer) -> None:
            self.small = _send_answer
            request.headers["Attempt-Id"] = "r2"
            await _send_answer(request, writer)

        def count_lost() -> int:
            return self.counters.total("fallback.not_kept.lost")

        async def begin_late(request, writer) -> None:
            await skipping_loop.wait_until(
                lambda: count_lost() == len(self.models) // 2
            )
            await _send_best(request, writer)

        self.large = begin_late
        for script in (crash, disorder, tear):
            self.small = script
            response = await self.fetch(Model="*")
            self.assertEqual(response.headers["Confidence"], "100")
        self.assertEqual(count_lost(), 3)
        self.small, self.large = forge, _send_best
        await self.fetch(Model="*")
        self.assertEqual(self.models[-3:], ["small", "small", "large"])
        self.assertEqual(self.counters.total("fallback.kept"), 4)


class DecisionTest(unittest.TestCase):
    """Guards against a choice that ends after the deadline without need."""

    limits = fallbacks.TimeLimits(
        received_s=0.0, deadline_s=10.0, target_latency_s=3.0
    )

    def test_first_event_compares_both_streams(self) -> None:
        complete = fallbacks.ExpectedRest(is_complete=True)
        for rest_s, held, goes_on in (
            (3.0, complete, True),
            (6.0, complete, False),
            (6.0, fallbacks.ExpectedRest(rest_s=4.0), False),
            (6.0, fallbacks.ExpectedRest(rest_s=5.5), False),
            (6.0, fallbacks.ExpectedRest(rest_s=7.0), True),
        ):
            with self.subTest(rest_s=rest_s, held=held):
                stream = fallbacks.ExpectedStream(11, rest_s / 10)
                found = fallbacks.may_go_on(5.0, self.limits, stream, held)
                self.assertEqual(found, goes_on)

    def test_limit_of_the_first_event_follows_the_held_stream(self) -> None:
        stream = fallbacks.ExpectedStream(11, 0.1)
        for held, latest_s in (
            (fallbacks.ExpectedRest(is_complete=True), 10.0 - 1.0 / 1.15),
            (fallbacks.ExpectedRest(rest_s=2.0), 7.7),
            # Neither the deadline nor an early relay helps; patience ends.
            (fallbacks.ExpectedRest(rest_s=20.0), 11.7),
        ):
            with self.subTest(held=held):
                found = fallbacks.find_latest_first_event_s(
                    self.limits, stream, held, 1.0
                )
                self.assertAlmostEqual(found, latest_s)


def _begin_answer(request, writer, *event_ids: int) -> None:
    scripted_servers.write_stream_start(request, writer, Confidence="20")
    for event_id in event_ids:
        scripted_servers.write_event(writer, event_id)


def _respond(status: str, **extra: str) -> scripted_servers.Script:
    async def respond(request, writer) -> None:
        scripted_servers.write_response(
            request, writer, b"", status=status, **extra
        )

    return respond


async def _send_answer(request, writer) -> None:
    _begin_answer(request, writer, *range(1, _EVENTS + 1))
    scripted_servers.write_chunk(writer, b"")
    await writer.drain()


async def _send_best(request, writer) -> None:
    scripted_servers.write_stream_start(request, writer, Confidence="100")
    scripted_servers.write_event(writer, 1)
    scripted_servers.write_chunk(writer, b"")
    await writer.drain()


async def _hang(request, writer) -> None:
    await asyncio.Event().wait()
