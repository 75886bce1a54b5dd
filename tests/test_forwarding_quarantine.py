"""Tests of the quarantine of requests that crash servers."""

import asyncio
import random
import unittest

from dragonflydyke import metrics
from dragonflydyke.forwarding import crash_reports, model, quarantine
from tests.builders import (
    forwarding,
    scripted_servers,
    shared_objects,
    skipping_loop,
    virtual_loop,
)

_POOL = "engines"
_SOUND = "aaa:400,ccc:300,d1:100"
_DEADLY_PART = "bbb"
# Version of a store without eras.
_VERSION = 7


def _build_prompt(first: str, last: str) -> str:
    return f"{first}:400,{_DEADLY_PART}:300,{last}:100"


class PromptQuarantineTest(unittest.TestCase):
    """Guards against too many crashes, and against rejected sound prompts."""

    def setUp(self) -> None:
        self.requests = quarantine.RequestQuarantine()

    def add(self, *parts: str, server: str, request_id: str = "r1") -> None:
        """Adds a report."""
        report = shared_objects.build_crash_report(
            *parts, server=server, request_id=request_id
        )
        self.requests.add(report, 0.0)

    def is_rejected(self, *parts: str) -> bool:
        """Returns whether a prompt is rejected."""
        return self.requests.find_combination(_POOL, parts) is not None

    def test_two_crashed_engines_put_a_prompt_in_quarantine(self) -> None:
        self.add("aaa", "bbb", server="a")
        self.assertFalse(self.is_rejected("aaa", "bbb"))
        self.add("aaa", "bbb", server="b")
        self.assertTrue(self.is_rejected("aaa", "bbb"))
        self.assertIsNone(self.requests.find_combination("other", ["aaa"]))

    def test_crashes_by_one_request_do_not_incriminate_its_parts(self) -> None:
        """All requests with its first part were rejected for ten minutes."""
        for server in ("a", "b"):
            self.requests.add(
                shared_objects.build_crash_report(
                    "aaa", "bbb", server=server, fingerprint="f1"
                ),
                0.0,
            )
        self.assertTrue(self.requests.excludes_repetition(_POOL, "f1"))
        self.assertFalse(self.is_rejected("aaa", "bbb"))
        self.requests.add(
            shared_objects.build_crash_report(
                "aaa", "bbb", server="c", request_id="r2", fingerprint="f2"
            ),
            0.0,
        )
        self.assertTrue(self.is_rejected("aaa", "bbb"))

    def test_sound_prompts_with_some_of_the_parts_are_served(self) -> None:
        """A sound route was blocked by the first part of its prompts."""
        self.add("aaa", "bbb", server="a")
        self.add("aaa", "bbb", server="b")
        self.assertFalse(self.is_rejected("aaa", "ccc"))
        self.assertFalse(self.is_rejected("aaa"))

    def test_crash_of_one_engine_is_not_counted_twice(self) -> None:
        self.add("aaa", "bbb", server="a", request_id="r1")
        self.add("aaa", "bbb", server="a", request_id="r2")
        self.assertFalse(self.is_rejected("aaa", "bbb"))

    def test_different_requests_show_the_part_they_share(self) -> None:
        self.add("aaa", "bbb", server="a")
        self.add("ccc", "bbb", server="b", request_id="r2")
        self.assertTrue(self.is_rejected("ddd", "bbb"))
        self.assertFalse(self.is_rejected("ccc", "ddd"))

    def test_part_of_a_later_response_is_not_the_cause(self) -> None:
        """Requests that share only a common first part looked alike."""
        self.add("aaa", "bbb", server="a")
        self.requests.record_response(
            _POOL, shared_objects.build_content("aaa", "ddd", "")
        )
        self.add("aaa", "ccc", server="b", request_id="r2")
        self.requests.record_response(
            _POOL, shared_objects.build_content("aaa", "")
        )
        self.assertFalse(self.is_rejected("aaa", "ddd"))
        self.add("eee", "bbb", server="c", request_id="r3")
        self.assertTrue(self.is_rejected("fff", "bbb"))

    def test_reports_of_other_nodes_count(self) -> None:
        """Every node lost its own engines before all rejected the prompt."""
        self.add("aaa", "bbb", server="a")
        other = shared_objects.build_crash_report("aaa", "bbb", server="b")
        self.requests.replace_stored([other], 0.0, _VERSION)
        self.assertTrue(self.is_rejected("aaa", "bbb"))
        # The report of this node is not stored yet and must not get lost.
        self.requests.replace_stored([], 0.0, _VERSION)
        self.add("aaa", "bbb", server="c")
        self.assertTrue(self.is_rejected("aaa", "bbb"))

    def test_quarantine_ends(self) -> None:
        self.add("aaa", "bbb", server="a")
        self.assertEqual(
            self.requests.list_expired(quarantine.QUARANTINE_S - 1.0), []
        )
        (expired,) = self.requests.list_expired(quarantine.QUARANTINE_S)
        self.requests.discard(expired)
        self.add("aaa", "bbb", server="b")
        self.assertFalse(self.is_rejected("aaa", "bbb"))


class RepeatedRequestTest(unittest.TestCase):
    """Guards against a request that crashes servers whenever it comes again."""

    def setUp(self) -> None:
        self.requests = quarantine.RequestQuarantine()

    def add(self, fingerprint: str, *, server: str) -> None:
        """Adds a report on a request without a prompt."""
        report = shared_objects.build_crash_report(
            server=server,
            request_id=f"{server}-{fingerprint}",
            fingerprint=fingerprint,
        )
        self.requests.add(report, 0.0)

    def is_rejected(self, fingerprint: str) -> bool:
        """Returns whether a request is rejected."""
        return self.requests.excludes_repetition(_POOL, fingerprint)

    def test_second_crash_excludes_the_request(self) -> None:
        self.add("deadly", server="a")
        self.assertFalse(self.is_rejected("deadly"))
        self.add("deadly", server="b")
        self.assertTrue(self.is_rejected("deadly"))
        self.assertFalse(self.requests.excludes_repetition("other", "deadly"))

    def test_requests_beside_it_are_served(self) -> None:
        """A lookup that ran beside it twice crashed no server."""
        for server in "abc":
            self.add("deadly", server=server)
        for server in "ab":
            self.add("lookup", server=server)
        self.assertTrue(self.is_rejected("deadly"))
        self.assertFalse(self.is_rejected("lookup"))

    def test_request_with_a_later_response_is_served(self) -> None:
        self.add("lookup", server="a")
        self.add("lookup", server="b")
        self.requests.record_response(
            _POOL, shared_objects.build_content("lookup")
        )
        self.assertFalse(self.is_rejected("lookup"))

    def test_one_crash_of_several_repetitions_counts_once(self) -> None:
        for request_id in ("r1", "r2"):
            self.requests.add(
                shared_objects.build_crash_report(
                    request_id=request_id, fingerprint="deadly"
                ),
                0.0,
            )
        self.assertFalse(self.is_rejected("deadly"))

    def test_reports_without_a_fingerprint_exclude_nothing(self) -> None:
        """Nodes of an earlier version do not write it."""
        self.add("", server="a")
        self.add("", server="b")
        self.assertFalse(self.is_rejected(""))


class CrashReporterTest(virtual_loop.VirtualTimeTestCase):
    """Guards against reports that do not reach the store, or never leave it."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.requests = quarantine.RequestQuarantine()
        self.store = shared_objects.RecordingCrashStore()
        self.reporter = crash_reports.CrashReporter(
            self.requests, self.store, metrics.Counters(), random.Random(3)
        )
        task = asyncio.create_task(self.reporter.run())
        self.addCleanup(task.cancel)

    async def test_expired_reports_are_removed(self) -> None:
        report = shared_objects.build_crash_report("aaa")
        await self.store.write_crash(report)
        self.requests.replace_stored(
            [report], self.loop.time(), self.store.version
        )
        await self.loop.advance(quarantine.QUARANTINE_S - 1.0, step_s=1.0)
        self.assertIn(report.name, self.store.reports)
        await self.loop.advance(40.0, step_s=1.0)
        self.assertEqual(self.store.reports, {})

    async def test_reports_lost_by_a_restore_are_written_again(self) -> None:
        """The quarantine ended, and two more engines crashed on each pool."""
        reports = [
            shared_objects.build_crash_report("aaa", "bbb", server=server)
            for server in "ab"
        ]
        for report in reports:
            await self.store.write_crash(report)
        self.list_reports()
        self.store.restore()
        self.list_reports()
        parts = ["aaa", "bbb"]
        self.assertIsNotNone(self.requests.find_combination(_POOL, parts))
        await self.loop.advance(2.0)
        self.assertEqual(
            set(self.store.reports), {report.name for report in reports}
        )
        # Another node removes the reports when their time is over.
        self.list_reports()
        self.store.reports.clear()
        self.list_reports()
        self.assertIsNone(self.requests.find_combination(_POOL, parts))

    def list_reports(self) -> None:
        """Gives the quarantine what the store lists."""
        self.requests.replace_stored(
            self.store.reports.values(), self.loop.time(), self.store.version
        )


class CrashingPromptTest(forwarding.ForwardingTestCase):
    """Replays requests of which one part crashes every engine.

    The engine sends the start of a response, and its process ends before the
    first event. Requests with other parts are served all the while.
    """

    async def asyncSetUp(self) -> None:
        """Starts five engines and the reporter."""
        await super().asyncSetUp()
        self.crashed: list[str] = []
        for name in "abcde":
            await self.start_engine(name)
        task = asyncio.create_task(self.crash_reporter.run())
        self.addCleanup(task.cancel)

    async def start_engine(self, name: str) -> None:
        """Starts an engine that crashes on the deadly part."""

        async def run(request, writer) -> None:
            is_deadly = _DEADLY_PART in request.headers["Prompt-Prefix"]
            scripted_servers.write_stream_start(
                request, writer, Confidence=self.confidence
            )
            await writer.drain()
            if is_deadly:
                await self.crash(name, writer)
                return
            for event_id in (1, 2):
                scripted_servers.write_event(writer, event_id)
            scripted_servers.write_chunk(writer, b"")
            await writer.drain()

        await self.start_server(name, run)

    confidence = "100"

    async def crash(self, name: str, writer: asyncio.StreamWriter) -> None:
        """Ends an engine: its address refuses connections from now on."""
        await self.servers[name].stop()
        self.crashed.append(name)
        await asyncio.sleep(0.02)
        scripted_servers.reset(writer)

    async def test_prompt_that_crashes_engines_is_sent_to_two_of_them(
        self,
    ) -> None:
        """One request after the other took all engines of a pool down."""
        prompt = _build_prompt("aaa", "x1")
        response = await self.fetch(Prompt_Prefix=prompt)
        # The request may have run.
        self.assertEqual(response.status, 502)
        self.assertEqual(len(self.crashed), 2)
        for number in range(3):
            prompt = _build_prompt("aaa", f"y{number}")
            response = await self.fetch(Prompt_Prefix=prompt)
            self.assertEqual(response.status, 503)
            self.assertIn("Retry-After", response.headers)
        self.assertEqual(len(self.crashed), 2)
        response = await self.fetch(Prompt_Prefix=_SOUND, body=b"sound")
        self.assertEqual((response.status, response.is_complete), (200, True))

    async def test_crashes_are_shared_with_other_nodes(self) -> None:
        """The parts are known as soon as a second request has crashed one."""
        parts = ["aaa", _DEADLY_PART]
        await self.fetch(Prompt_Prefix=_build_prompt("aaa", "x1"), body=b"one")
        other = await self.share_reports(2)
        self.assertTrue(other.has_reports(_POOL))
        self.assertIsNone(other.find_combination(_POOL, parts))
        prompt = _build_prompt("aaa", "x2")
        await self.fetch(Prompt_Prefix=prompt, body=b"other")
        other = await self.share_reports(3)
        self.assertIsNotNone(other.find_combination(_POOL, parts))

    async def share_reports(self, count: int) -> quarantine.RequestQuarantine:
        """Returns the quarantine of another node that reads the reports."""
        await skipping_loop.wait_until(
            lambda: len(self.crash_store.reports) >= count
        )
        other = quarantine.RequestQuarantine()
        other.replace_stored(
            self.crash_store.reports.values(), 0.0, self.crash_store.version
        )
        return other

    async def test_prompts_that_differ_crash_three_engines(self) -> None:
        """The second request tells whether the first or its parts crash."""
        for number in range(4):
            await self.fetch(
                Prompt_Prefix=_build_prompt("aaa", f"x{number}"),
                body=f"question {number}".encode(),
            )
        self.assertEqual(len(self.crashed), 3)
        response = await self.fetch(Prompt_Prefix=_SOUND, body=b"sound")
        self.assertEqual((response.status, response.is_complete), (200, True))

    async def test_lost_write_of_a_report_is_repeated(self) -> None:
        self.crash_store.failures = 2
        await self.fetch(Prompt_Prefix=_build_prompt("aaa", "x1"))
        await skipping_loop.wait_until(
            lambda: len(self.crash_store.reports) > 1
        )
        self.assertEqual(self.crash_store.failures, 0)

    async def test_crash_during_an_escalation_is_noticed(self) -> None:
        """The engine crashed after its response had been discarded."""
        self.forwarder.policy = forwarding.build_policy(
            forwarding.build_route(models=forwarding.MODELS)
        )
        self.confidence = "10"
        prompt = _build_prompt("aaa", "x1")
        response = await self.fetch(Model="*", Prompt_Prefix=prompt)
        self.assertEqual(response.status, 502)
        self.assertEqual(len(self.crashed), 2)

    async def test_broken_connection_to_a_running_engine_is_no_crash(
        self,
    ) -> None:
        """Responses that get lost on the way do not incriminate a prompt."""

        async def run(request, writer) -> None:
            scripted_servers.write_stream_start(request, writer)
            await writer.drain()
            scripted_servers.reset(writer)

        for scripted in self.servers.values():
            scripted.script = run
        for _ in range(3):
            await self.fetch(Prompt_Prefix=_build_prompt("aaa", "x1"))
        parts = ["aaa", _DEADLY_PART]
        self.assertIsNone(self.quarantine.find_combination(_POOL, parts))
        self.assertEqual(self.crash_store.reports, {})


class CrashingCallTest(forwarding.ForwardingTestCase):
    """Replays calls without a prompt of which one ends every server.

    The server ends in the middle of the work, without any response, and other
    calls that run there are interrupted.
    """

    _DEADLY_BODY = b"deadly"

    async def asyncSetUp(self) -> None:
        """Starts five plain servers and the reporter."""
        await super().asyncSetUp()
        self.forwarder.policy = forwarding.build_policy(
            forwarding.build_plain_route()
        )
        self.crashed: list[str] = []
        for name in "abcde":
            await self.start_plain_server(name)
        task = asyncio.create_task(self.crash_reporter.run())
        self.addCleanup(task.cancel)

    async def start_plain_server(self, name: str) -> None:
        """Starts a server that ends under the deadly call."""

        async def run(request, writer) -> None:
            if request.body == self._DEADLY_BODY:
                await self.servers[name].stop()
                self.crashed.append(name)
                scripted_servers.reset(writer)
                return
            scripted_servers.write_response(request, writer, b"done")
            await writer.drain()

        await self.start_server(name, run, pool="plain")

    async def test_call_that_crashes_servers_is_sent_to_two_of_them(
        self,
    ) -> None:
        """Each repetition took as many servers down as it had attempts."""
        response = await self.fetch(body=self._DEADLY_BODY)
        # The call may have run.
        self.assertEqual(response.status, 502)
        for number in range(3):
            response = await self.fetch(
                body=self._DEADLY_BODY, Attempt_Id=f"again{number}"
            )
            self.assertEqual(response.status, 503)
            self.assertIn("Retry-After", response.headers)
        self.assertEqual(len(self.crashed), 2)
        response = await self.fetch(body=b"sound")
        self.assertEqual((response.status, response.body), (200, b"done"))

    async def test_call_that_may_run_once_is_sent_to_two_servers(self) -> None:
        """It has one attempt, but comes again as another request."""
        self.forwarder.policy = forwarding.build_policy(
            forwarding.build_plain_route(model.RequestKind.NON_IDEMPOTENT)
        )
        statuses = []
        for number in range(4):
            response = await self.fetch(
                body=self._DEADLY_BODY, Attempt_Id=f"r{number}"
            )
            statuses.append(response.status)
        self.assertEqual(statuses, [502, 502, 503, 503])
        self.assertEqual(len(self.crashed), 2)

    async def test_crashes_under_a_call_are_shared_with_other_nodes(
        self,
    ) -> None:
        """Each node lost servers of its own before all rejected the call."""
        await self.fetch(body=self._DEADLY_BODY)
        await skipping_loop.wait_until(
            lambda: len(self.crash_store.reports) > 1
        )
        other = quarantine.RequestQuarantine()
        other.replace_stored(
            self.crash_store.reports.values(), 0.0, self.crash_store.version
        )
        (report, *_) = self.crash_store.reports.values()
        self.assertTrue(
            other.excludes_repetition("plain", report.content.fingerprint)
        )
