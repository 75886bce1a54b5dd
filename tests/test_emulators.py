"""Tests of the emulators: faults must be exactly those configured."""

import asyncio
import dataclasses
import json
import os
import signal
import sys
from typing import Any

from dragonflydyke import backends, errors, metrics, objects
from dragonflydyke.backends import statements
from dragonflydyke.configuration import model
from dragonflydyke.emulator import (
    engine_model,
    platform,
    quality,
    service,
)
from tests.builders import documents, emulators, skipping_loop

_VM = objects.ListedVm("vm-1", "cartago-a", "entry", "10.0.0.1:7000", "live")


class CallingTestCase(emulators.EmulatorTestCase):
    """Test case that calls emulators over HTTP."""

    async def call(
        self,
        server: model.BackendServer,
        method: str,
        path: str,
        content: Any = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, Any]:
        """Returns the status and the JSON body of a response."""
        body = None if content is None else json.dumps(content).encode()
        return await self.fetch(
            backends.BackendRequest(server, method, path, headers or {}, body)
        )


class PlatformTest(CallingTestCase):
    """Guards against an emulated platform that lacks faults of the real one.

    Such an emulator would let tests pass that fail on the real platform.
    """

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.state = platform.PlatformState()
        self.server = await self.start(platform.build_application(self.state))
        self.objects = objects.ObjectClient(
            self.server.url,
            counters=metrics.Counters(),
            timeout_s=emulators.LONG_TIMEOUT_S,
        )
        self.addCleanup(self.objects.close)

    async def control(self, **changes: Any) -> Any:
        return await self.call(self.server, "POST", "/control", changes)

    async def test_conditional_writes(self) -> None:
        name = "rollout.tŷ/100%25 a"
        created = await self.objects.create("control", name, {"n": "é"})
        self.assertEqual(await self.objects.get("control", name), created)
        with self.assertRaises(objects.ConflictError) as caught:
            await self.objects.create("control", name, {})
        self.assertEqual(caught.exception.current, created)
        updated = await self.objects.update("control", name, 2, created.version)
        self.assertGreater(updated.version, created.version)
        with self.assertRaises(objects.ConflictError):
            await self.objects.update("control", name, 3, created.version)
        with self.assertRaises(objects.ConflictError):
            await self.objects.delete("control", name, created.version)
        await self.objects.delete("control", name, updated.version)
        self.assertIsNone(await self.objects.get("control", name))
        found = await self.objects.list("control", since=created.version)
        self.assertEqual((found.objects, found.deleted), ((), (name,)))

    async def test_values_over_the_limit_are_rejected(self) -> None:
        await self.objects.create("calls", "fits", "x" * 999_998)
        with self.assertRaises(objects.ObjectTooLargeError):
            await self.objects.create("calls", "large", "x" * 999_999)
        self.assertIsNone(await self.objects.get("calls", "large"))

    async def test_watch_returns_on_a_newer_object(self) -> None:
        first = await self.objects.create("control", "a", 1)
        path = f"/v1/objects/control?since={first.version}&wait_s=50"
        watch = asyncio.create_task(self.call(self.server, "GET", path))
        await skipping_loop.wait_until(lambda: self.state.waiting_watches)
        await self.objects.create("other", "b", 1)
        await self.objects.create("control", "c", 1)
        _, found = await watch
        self.assertEqual([entry["name"] for entry in found["objects"]], ["c"])

    async def test_outage_has_no_effect_and_is_counted(self) -> None:
        await self.control(outage=True)
        for call in (
            self.objects.create("control", "a", 1),
            self.objects.list_vms(),
        ):
            with self.assertRaises(objects.PlatformUnavailableError):
                await call
        _, status = await self.control(outage=False)
        self.assertEqual(status["store_version"], 0)
        self.assertEqual(status["calls"], {"PUT": 1, "GET": 1, "refused": 2})

    async def test_write_takes_effect_if_response_is_lost_but_not_if_cut(
        self,
    ) -> None:
        for field, value, effect in (
            ("lose_answers", 1, True),
            ("cut", True, False),
        ):
            with self.subTest(field):
                await self.control(**{field: value})
                with self.assertRaises(objects.OutcomeUnknownError):
                    await self.objects.create("control", field, 1)
                await self.control(cut=False)
                stored = await self.objects.get("control", field)
                self.assertEqual(stored is not None, effect)

    async def test_stale_reads_are_switched_off(self) -> None:
        first = await self.objects.create("control", "a", 1)
        await self.control(stale_reads=True)
        second = await self.objects.update("control", "a", 2, first.version)
        self.assertEqual(await self.objects.get("control", "a"), first)
        found = await self.objects.list("control")
        self.assertEqual(found.version, first.version)
        await self.control(stale_reads=False)
        self.assertEqual(await self.objects.get("control", "a"), second)

    async def test_restore_starts_a_new_era(self) -> None:
        """The platform issues revisions of before the restore again."""
        first = await self.objects.create("control", "a", 1)
        await self.control(take_copy=True)
        second = await self.objects.update("control", "a", 2, first.version)
        await self.control(restore=True)
        with self.assertRaises(objects.HistoryLostError):
            await self.objects.list("control", since=second.version)
        restored = await self.objects.get("control", "a")
        self.assertEqual(restored.value, 1)
        self.assertGreater(restored.version, second.version)
        third = await self.objects.update("control", "a", 3, restored.version)
        # The revisions of both are the same.
        with self.assertRaises(objects.ConflictError):
            await self.objects.update("control", "a", 4, second.version)
        self.assertEqual(await self.objects.get("control", "a"), third)

    async def test_calls_over_the_rate_are_delayed(self) -> None:
        await self.control(writes_per_s=0.1)
        await self.objects.create("control", "a", 1)
        second = asyncio.create_task(self.objects.create("control", "b", 1))
        await skipping_loop.wait_until(lambda: self.state.calls["PUT"] == 2)
        self.assertIsNone(await self.objects.get("control", "b"))
        self.loop.skip(11.0)
        self.assertEqual((await second).name, "b")

    async def test_hanging_call_is_executed_after_the_hang(self) -> None:
        await self.control(hang=True)
        write = asyncio.create_task(self.objects.create("control", "a", 1))
        await skipping_loop.wait_until(lambda: self.state.calls["PUT"])
        self.assertEqual(self.state.store.version, 0)
        await self.control(hang=False)
        self.assertEqual((await write).value, 1)

    async def test_vm_list_is_visible_after_the_lag(self) -> None:
        vm = dataclasses.asdict(_VM)
        await self.control(vm_list_lag_s=50.0)
        status, _ = await self.call(self.server, "PUT", "/v1/vms", [vm])
        self.assertEqual(status, 200)
        self.assertEqual((await self.objects.list_vms()).vms, ())
        self.loop.skip(51.0)
        self.assertEqual((await self.objects.list_vms()).vms, (_VM,))

    async def test_invalid_control_request_changes_nothing(self) -> None:
        for changes in ({"cut": True, "x": 1}, {"cut": 1}, {"latency_s": -1}):
            status, body = await self.control(**changes)
            self.assertEqual(status, 400, body)
        _, status = await self.call(self.server, "GET", "/control")
        self.assertFalse(status["behaviour"]["cut"])


class EngineTest(emulators.EngineTestCase):
    """Guards against an engine that ignores priorities, limits or its cache."""

    async def complete(self, **fields: Any) -> tuple[int, Any]:
        request = self.chat(stream=False, stream_id="", **fields)
        return await self.fetch(request)

    async def test_queue_is_ordered_by_priority(self) -> None:
        self.state.control({"slots": 0})
        chats = []
        for name, priority in (("c", 5), ("a", 0), ("d", 5), ("b", 1)):
            chat = self.complete(request_id=name, priority=priority)
            chats.append(asyncio.create_task(chat))
            await skipping_loop.wait_until(
                lambda: self.state.scheduler.waiting == len(chats)
            )
        self.state.control({"slots": 1})
        await asyncio.gather(*chats)
        self.assertEqual(list(self.state.scheduler.runs), ["a", "b", "c", "d"])

    async def test_full_queue_rejects_without_running(self) -> None:
        self.state.control({"slots": 0, "queue_limit": 0})
        self.assertEqual((await self.complete())[0], 503)
        self.assertEqual(self.state.describe()["runs"], {})

    async def test_cancelling_a_queued_request_frees_no_slot(self) -> None:
        self.state.control({"slots": 0})
        waiting = asyncio.create_task(self.complete())
        await skipping_loop.wait_until(lambda: self.state.scheduler.waiting)
        waiting.cancel()
        await skipping_loop.wait_until(lambda: not self.state.scheduler.waiting)
        self.state.control({"slots": 1})
        self.assertEqual((await self.complete())[0], 200)
        self.assertEqual(self.state.scheduler.running, 0)
        self.assertEqual(self.state.scheduler.runs["request-1"], 1)

    async def test_cached_prefix_is_not_prefilled_again(self) -> None:
        content = "Pack the pallet. " * 20
        self.state.control({"versions": ["m@v1", "m@v2"]})
        for version, cached_tokens in (("m@v1", 0), ("m@v1", 80), ("m@v2", 0)):
            _, body = await self.complete(content=content, model=version)
            details = body["usage"]["prompt_tokens_details"]
            self.assertEqual(details["cached_tokens"], cached_tokens)

    async def test_completions_are_truncated_at_max_tokens(self) -> None:
        for field in ("max_tokens", "max_completion_tokens"):
            _, body = await self.complete(**{field: 3})
            self.assertEqual(body["usage"]["completion_tokens"], 3)
            self.assertEqual(body["choices"][0]["finish_reason"], "length")
        self.assertEqual((await self.complete(max_tokens=0))[0], 400)

    async def test_completion_of_bad_version_has_marker(self) -> None:
        for versions in ([], ["planner-small@v1"]):
            self.state.control({"bad_versions": versions})
            _, body = await self.complete()
            content = body["choices"][0]["message"]["content"]
            marked = quality.LOW_QUALITY_MARKER in content
            self.assertEqual(marked, bool(versions))

    async def test_error_share_is_deterministic(self) -> None:
        outcomes = []
        for _ in range(2):
            await self.start_engine()
            self.state.control({"error_share": 0.5})
            outcomes.append(
                [
                    (await self.complete(request_id=f"r{n}"))[0]
                    for n in range(20)
                ]
            )
        self.assertEqual(outcomes[0], outcomes[1])
        self.assertEqual(set(outcomes[0]), {200, 500})
        runs = self.state.describe()["runs"]
        self.assertEqual(len(runs), outcomes[0].count(200))

    async def test_load_report_is_as_old_as_the_lag(self) -> None:
        self.state.control(
            {"load_lag_s": 5.0, "decode_s": emulators.ENDLESS_DELAY_S}
        )
        chat = asyncio.create_task(self.complete())
        await skipping_loop.wait_until(lambda: self.state.scheduler.running)
        for expected in (0, 1):
            report = await self.client.fetch_load(
                self.server, deadline=self.deadline
            )
            self.assertEqual(report.running, expected)
            self.loop.skip(6.0)
        chat.cancel()

    async def test_slow_factor_is_reset(self) -> None:
        self.state.control({"slow_factor": 4, "slow_for_s": 5.0})
        self.loop.skip(6.0)
        await skipping_loop.wait_until(
            lambda: self.state.behaviour.slow_factor == 1.0
        )

    async def test_abandoned_stream_is_cancelled(self) -> None:
        self.state.control({"decode_s": emulators.ENDLESS_DELAY_S})
        request = self.chat()
        await (await self.open(request)).detach()
        stream = self.state.scheduler.streams["stream-1"]
        await skipping_loop.wait_until(lambda: not stream.readers)
        self.assertEqual(self.state.scheduler.running, 1)
        self.loop.skip(engine_model.EngineBehaviour().abandoned_s + 1)
        await stream.wait_until_finished()
        self.assertEqual(stream.finish_reason, "cancelled")


class ServiceTest(CallingTestCase):
    """Guards against executions that the service does not record."""

    async def test_faults_before_and_after_execution(self) -> None:
        state = service.ServiceState()
        server = await self.start(service.build_application(state))
        headers = {
            service.IDEMPOTENCY_KEY_HEADER: "key-1",
            backends.REQUEST_ID_HEADER: "request-1",
        }
        expected = service.Execution("POST", "/print", "key-1", "request-1")
        for field, status, executed in (
            ("fail_before", 503, 0),
            ("cut_before", None, 0),
            ("fail_after", 500, 1),
            ("cut_after", None, 1),
        ):
            with self.subTest(field):
                state.executions.clear()
                await self.call(server, "POST", "/control", {field: 1})
                try:
                    actual_status, _ = await self.call(
                        server, "POST", "/print?copies=1", 1, headers
                    )
                except errors.DragonflydykeError as error:
                    self.assertIs(error.execution, errors.Execution.UNKNOWN)
                    actual_status = None
                self.assertEqual(actual_status, status)
                self.assertEqual(state.executions, [expected] * executed)

    async def test_responses_carry_statements_of_the_server(self) -> None:
        """Routers would be tested with servers that say nothing."""
        server = await self.start(service.build_application())
        changes = {"leaving": True, "pause_s": 1.5, "fail_before": 1}
        await self.call(server, "POST", "/control", changes)
        for status, pause_s in ((503, 1.5), (200, None)):
            request = backends.BackendRequest(server, "POST", "/print", {}, b"")
            async with await self.open(request) as response:
                self.assertEqual(response.status, status)
                self.assertTrue(statements.says_leaving(response.headers))
                self.assertEqual(
                    statements.find_pause_s(status, response.headers), pause_s
                )

    async def test_ratings_and_weights(self) -> None:
        server = await self.start(service.build_application(rating=True))
        ratings = []
        for answer in ("fine", quality.LOW_QUALITY_MARKER, "fine"):
            content = {"version": "planner-small@v1", "answer": answer}
            _, body = await self.call(server, "POST", "/v1/ratings", content)
            ratings.append(body["rating"])
        self.assertEqual(ratings[0], ratings[2])
        self.assertLess(ratings[1], 0.5)
        self.assertGreater(ratings[0], 0.8)
        changes = {"weight_bytes": 0, "weight_requests_per_s": 0.01}
        await self.call(server, "POST", "/control", changes)
        for status in (200, 429):
            actual_status, _ = await self.call(
                server, "GET", "/v1/weights/m@v1"
            )
            self.assertEqual(actual_status, status)


class ProgramTest(CallingTestCase):
    """Guards against emulator programs that do not start or stop."""

    async def test_programs_print_their_address_and_stop(self) -> None:
        programs = {
            "platform_main": "",
            "engine_main": "--versions planner-small@v1,other@v2",
            "service_main": "--rating --seed 1",
        }
        for module, arguments in programs.items():
            with self.subTest(module):
                command = f"-m dragonflydyke.emulator.{module} serve"
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    *f"{command} --listen 127.0.0.1:0 {arguments}".split(),
                    stdout=asyncio.subprocess.PIPE,
                    env={
                        **os.environ,
                        "PYTHONPATH": os.pathsep.join(sys.path),
                    },
                )
                assert process.stdout is not None
                line = (await process.stdout.readline()).decode()
                address = line.removeprefix("listening on ").strip()
                server = documents.build_engine(url=f"http://{address}")
                status, _ = await self.call(server, "GET", "/control")
                self.assertEqual(status, 200)
                process.send_signal(signal.SIGTERM)
                self.assertEqual(await process.wait(), 0)
