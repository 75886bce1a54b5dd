"""Tests of the backend client against the engine emulator."""

import asyncio
import json
import socket
from collections.abc import Awaitable, Callable

from tornado import netutil, tcpclient

from dragonflydyke import backends, errors
from dragonflydyke.backends import connection
from dragonflydyke.emulator import service
from tests.builders import documents, emulators, skipping_loop

_CONNECT_TIMEOUT_S = 0.5


class _SilentResolver(netutil.Resolver):
    """Never answers, as a host that drops all packets."""

    async def resolve(self, *_: object, **__: object) -> list[object]:
        return await asyncio.get_running_loop().create_future()


class BackendTestCase(emulators.EngineTestCase):
    """Base class that reads streams and checks errors."""

    async def collect(
        self, response: backends.BackendAnswer, splitter: backends.EventSplitter
    ) -> list[bytes]:
        """Returns the events of a response up to its end or interruption."""
        events = []
        try:
            async for chunk in response.chunks():
                events += splitter.feed(chunk)
        except errors.DragonflydykeError as error:
            self.assertEqual(error.step, errors.Step.READ_ANSWER)
            self.assertIs(error.execution, errors.Execution.UNKNOWN)
        return events

    async def check_fails(
        self,
        request: backends.BackendRequest,
        step: errors.Step,
        execution: errors.Execution,
    ) -> errors.DragonflydykeError:
        """Sends a request that must fail and returns the checked error."""
        with self.assertRaises(errors.DragonflydykeError) as caught:
            await self.fetch(request)
        error = caught.exception
        self.assertEqual(
            (error.step, error.execution, error.peer),
            (step, execution, request.server.name),
        )
        name = f"backend.{error.step}.{error.code}"
        self.assertEqual(self.counters.total(name), 1)
        return error


class ResponseTest(BackendTestCase):
    """Guards against responses that are altered or lost in transfer."""

    async def test_streamed_and_whole_responses_are_equal(self) -> None:
        request = self.chat(max_tokens=5)
        async with await self.open(request) as response:
            events = await self.collect(response, backends.EventSplitter())
        self.assertEqual(len(events), 8)
        self.assertEqual(events[-1], b"data: [DONE]")
        usage = json.loads(events[-2].removeprefix(b"data: "))["usage"]
        self.assertEqual(usage["completion_tokens"], 5)
        self.assertEqual(self.state.scheduler.counts["cancelled"], 0)

        whole = self.chat(max_tokens=5, stream=False, stream_id="")
        _, body = await self.fetch(whole)
        text = body["choices"][0]["message"]["content"]
        self.assertEqual(text, emulators.extract_content(events))

    async def test_unicode_and_large_bodies_arrive_unchanged(self) -> None:
        # The body exceeds the socket buffers, so the writes must be awaited.
        content = "Cyfrif tŷ – 箱 café " * 200_000
        server = await self.start(service.build_application())
        request = backends.BackendRequest(
            server, "POST", "/echo", body=content.encode()
        )
        _, body = await self.fetch(request)
        self.assertTrue(body["received"] == content)

    async def test_error_status_is_returned_as_response(self) -> None:
        request = self.chat(model="other@v1")
        status, body = await self.fetch(request)
        self.assertEqual(status, 404)
        self.assertIn("not loaded", body["error"]["message"])

    async def test_large_response_is_read_with_backpressure(self) -> None:
        size = 50_000_000
        drained = asyncio.Event()

        async def answer_large(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n"
            writer.write(head.encode())
            for _ in range(50):
                writer.write(b"x" * (size // 50))
                await writer.drain()
            drained.set()
            writer.close()

        server = await emulators.start_raw_server(self, answer_large)
        response = await self.open(backends.BackendRequest(server, "GET", "/"))
        async with response:
            # Runs the loop until the server cannot send any more data.
            for _ in range(2_000):
                await asyncio.sleep(0)
            self.assertFalse(drained.is_set())
            received = 0
            async for chunk in response.chunks():
                received += len(chunk)
        self.assertEqual(received, size)

    async def test_body_over_limit_is_an_error(self) -> None:
        request = self.chat(stream=False)
        async with await self.open(request) as response:
            with self.assertRaises(errors.DragonflydykeError) as caught:
                await response.read_body(10)
        self.assertEqual(caught.exception.code, "backend_answer_invalid")


class ExecutionOnFailureTest(BackendTestCase):
    """Guards against errors that state wrongly whether a request ran."""

    async def test_refused_connection_did_not_run(self) -> None:
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            url = f"http://127.0.0.1:{unused.getsockname()[1]}"
            self.server = documents.build_engine(url=url)
            error = await self.check_fails(
                self.chat(), errors.Step.CONNECT, errors.Execution.NOT_RUN
            )
        self.assertEqual(error.code, "backend_unreachable")

    async def test_connection_lost_after_sending_is_unknown(self) -> None:
        faults = {"cut_before_requests": 0, "cut_after_requests": 1}
        for field, runs in faults.items():
            with self.subTest(field):
                self.replace_client()
                self.state.control({field: 1})
                request = self.chat(stream_id=field, request_id=field)
                await self.check_fails(
                    request, errors.Step.AWAIT_ANSWER, errors.Execution.UNKNOWN
                )
                self.assertEqual(self.state.scheduler.runs[field], runs)

    async def test_truncated_responses_are_errors(self) -> None:
        chunked = b"Transfer-Encoding: chunked\r\n\r\n"
        for head, step in (
            (b"Content-Length: 10\r\n\r\nshort", errors.Step.READ_ANSWER),
            (chunked + b"5\r\nshort\r\n", errors.Step.READ_ANSWER),
            (chunked + b"5\r\nshort\r\n0\r\n", errors.Step.READ_ANSWER),
            (chunked + b"zz\r\nshort\r\n", errors.Step.READ_ANSWER),
            (b"Connection: close\r\n\r\nshort", errors.Step.AWAIT_ANSWER),
        ):
            with self.subTest(head):
                self.replace_client()
                server = await emulators.start_raw_server(
                    self,
                    emulators.respond_with(b"HTTP/1.1 200 OK\r\n" + head),
                )
                request = backends.BackendRequest(server, "GET", "/")
                await self.check_fails(request, step, errors.Execution.UNKNOWN)

    async def test_connection_lost_while_sending_is_unknown(self) -> None:
        server = await emulators.start_raw_server(
            self, emulators.respond_with(b"")
        )
        request = emulators.build_chat_request(server, content="x" * 20_000_000)
        await self.check_fails(
            request, errors.Step.SEND, errors.Execution.UNKNOWN
        )

    async def test_invalid_http_requests_are_not_sent(self) -> None:
        for path, value in (("/a b", ""), ("/tŷ", ""), ("/", "a\r\nX: b")):
            with self.subTest(path=path, value=value):
                self.replace_client()
                request = backends.BackendRequest(
                    self.server, "GET", path, {"X-Name": value}
                )
                await self.check_fails(
                    request, errors.Step.SEND, errors.Execution.NOT_RUN
                )


class DeadlineTest(BackendTestCase):
    """Guards against exceeding the deadline, in each phase of an exchange."""

    async def check_deadline_exceeded(
        self,
        request: backends.BackendRequest,
        step: errors.Step,
        wait_for_phase: Callable[[], Awaitable[object]],
    ) -> None:
        """Moves the clock past the deadline once a phase is reached.

        The request must then fail with a deadline error at the given step.
        """

        async def skip() -> None:
            await wait_for_phase()
            self.loop.skip(emulators.LONG_TIMEOUT_S + 1)

        execution = errors.Execution.UNKNOWN
        if step is errors.Step.CONNECT:
            execution = errors.Execution.NOT_RUN
        skipping = asyncio.create_task(skip())
        error = await self.check_fails(request, step, execution)
        await skipping
        self.assertEqual(error.code, "backend_deadline_exceeded")

    async def test_connect_timeout_is_not_the_deadline(self) -> None:
        # Guards against a deadline error, which tells the client to allow more
        # time, for a server that accepts no connection.
        client = tcpclient.TCPClient(resolver=_SilentResolver())
        self.addCleanup(client.close)
        exchange = connection.Exchange(
            self.chat(),
            self.loop.time() + emulators.LONG_TIMEOUT_S,
            connect_timeout_s=_CONNECT_TIMEOUT_S,
        )
        connecting = asyncio.create_task(exchange.connect(client))
        await asyncio.sleep(0)
        self.loop.skip(_CONNECT_TIMEOUT_S)
        with self.assertRaises(errors.DragonflydykeError) as caught:
            await connecting
        self.assertEqual(caught.exception.code, "backend_unreachable")
        self.assertIs(caught.exception.execution, errors.Execution.NOT_RUN)

    async def test_exceeded_before_connecting(self) -> None:
        request = self.chat()
        with self.assertRaises(errors.DragonflydykeError) as caught:
            await self.client.open(request, deadline=self.loop.time())
        self.assertEqual(caught.exception.step, errors.Step.CONNECT)
        self.assertIs(caught.exception.execution, errors.Execution.NOT_RUN)
        self.assertEqual(self.state.scheduler.counts["requests"], 0)

    async def test_exceeded_while_connecting(self) -> None:
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            address = listener.getsockname()
            # Fills the listen backlog, so that the next connection attempt
            # stays pending.
            for _ in range(4):
                filler = socket.socket()
                self.addCleanup(filler.close)
                filler.setblocking(False)
                filler.connect_ex(address)
            url = f"http://127.0.0.1:{address[1]}"
            await self.check_deadline_exceeded(
                emulators.build_chat_request(documents.build_engine(url=url)),
                errors.Step.CONNECT,
                lambda: asyncio.sleep(0.05),
            )

    async def test_exceeded_while_sending(self) -> None:
        send_started = asyncio.Event()
        test_finished = asyncio.Event()

        async def read_little(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readexactly(10)
            send_started.set()
            await test_finished.wait()
            writer.close()

        self.addCleanup(test_finished.set)
        server = await emulators.start_raw_server(self, read_little)
        request = emulators.build_chat_request(
            server, content="x" * 20_000_000, stream_id=""
        )
        await self.check_deadline_exceeded(
            request, errors.Step.SEND, send_started.wait
        )

    async def test_exceeded_while_awaiting_response_cancels_stream(
        self,
    ) -> None:
        # A response that is not streamed starts only when the completion ends.
        self.state.control({"decode_s": emulators.ENDLESS_DELAY_S})
        scheduler = self.state.scheduler
        await self.check_deadline_exceeded(
            self.chat(stream=False),
            errors.Step.AWAIT_ANSWER,
            lambda: skipping_loop.wait_until(lambda: scheduler.running),
        )
        await self.client.close()
        self.assertEqual(scheduler.running, 0)
        self.assertEqual(scheduler.counts["cancelled"], 1)

    async def test_exceeded_while_reading_response(self) -> None:
        self.state.control(
            {"stall_requests": 1, "stall_s": emulators.ENDLESS_DELAY_S}
        )
        response = await self.open(self.chat())
        with self.assertRaises(errors.DragonflydykeError) as caught:
            async for _ in response.chunks():
                self.loop.skip(emulators.LONG_TIMEOUT_S + 1)
        self.assertEqual(caught.exception.code, "backend_deadline_exceeded")
        self.assertEqual(caught.exception.step, errors.Step.READ_ANSWER)
        self.assertIs(caught.exception.execution, errors.Execution.UNKNOWN)
        await response.close()
        self.assertEqual(self.state.scheduler.counts["cancelled"], 1)


class CloseTest(BackendTestCase):
    """Guards against engines that continue streams that were closed."""

    async def test_early_close_cancels_stream_and_returns_usage(self) -> None:
        stall = {"stall_requests": 1, "stall_after_tokens": 3}
        self.state.control({**stall, "stall_s": emulators.ENDLESS_DELAY_S})
        response = await self.open(self.chat())
        splitter = backends.EventSplitter()
        async for chunk in response.chunks():
            splitter.feed(chunk)
            if splitter.count == 3:
                break
        usage = await response.close()
        self.assertEqual(usage, backends.Usage(6, 3))
        self.assertEqual(self.counters.total("backend.cancel.confirmed"), 1)
        self.assertEqual(self.state.scheduler.counts["cancelled"], 1)
        self.assertIsNone(await response.close())

    async def test_close_without_reading_does_not_hang(self) -> None:
        # Guards against a reader that waits forever because no one consumes
        # its chunks.
        response = await self.open(self.chat())
        await self.state.scheduler.streams["stream-1"].wait_until_finished()
        await response.close()

    async def test_cancelled_open_cancels_stream(self) -> None:
        self.state.control({"decode_s": emulators.ENDLESS_DELAY_S})
        request = self.chat(stream=False)
        opening = asyncio.create_task(self.open(request))
        await skipping_loop.wait_until(lambda: self.state.scheduler.running)
        opening.cancel()
        await asyncio.wait((opening,))
        await self.client.close()
        self.assertTrue(opening.cancelled())
        self.assertEqual(self.state.scheduler.counts["cancelled"], 1)

    async def test_unconfirmed_cancel_returns_no_usage(self) -> None:
        self.state.control({"cut_answers": 1})
        response = await self.open(self.chat())
        await self.collect(response, backends.EventSplitter())
        self.state.scheduler.streams.clear()
        self.assertIsNone(await response.close())
        self.assertEqual(self.counters.total("backend.cancel.failed"), 1)


class ResumeTest(BackendTestCase):
    """Guards against lost and repeated tokens after a connection loss."""

    async def test_resumed_stream_has_no_lost_or_repeated_events(self) -> None:
        request = self.chat(stream_id="whole")
        async with await self.open(request) as response:
            expected = await self.collect(response, backends.EventSplitter())
        self.state.control({"cut_answers": 5, "cut_after_events": 6})
        request = self.chat(stream_id="broken")
        response = await self.open(request)
        splitter = backends.EventSplitter()
        events = await self.collect(response, splitter)
        resumed = 0
        while not response.complete:
            splitter.discard_incomplete_event()
            response = await self.client.resume(
                response, splitter.count, deadline=self.deadline
            )
            events += await self.collect(response, splitter)
            resumed += 1
        await response.close()
        self.assertEqual(resumed, 5)
        self.assertEqual(self.counters.total("backend.cancel.confirmed"), 0)
        self.assertEqual(len(events), len(expected))
        self.assertEqual(
            emulators.extract_content(events),
            emulators.extract_content(expected),
        )
        self.assertEqual(events[-1], b"data: [DONE]")
        self.assertEqual(self.state.scheduler.runs["request-1"], 2)

    async def test_incomplete_event_is_discarded_before_resuming(self) -> None:
        splitter = backends.EventSplitter()
        self.assertEqual(splitter.feed(b"a\n\nb\r\n\r"), [b"a"])
        self.assertEqual(splitter.feed(b"\nc"), [b"b"])
        splitter.discard_incomplete_event()
        self.assertEqual(splitter.feed(b"cd\n\n"), [b"cd"])
        self.assertEqual(splitter.count, 3)

    async def test_failed_resume_never_states_not_run(self) -> None:
        self.state.control({"cut_answers": 1})
        response = await self.open(self.chat())
        await self.collect(response, backends.EventSplitter())
        with self.assertRaises(errors.DragonflydykeError) as caught:
            await self.client.resume(response, 1, deadline=0.0)
        self.assertIs(caught.exception.execution, errors.Execution.UNKNOWN)
        await response.close()


class EngineControlTest(BackendTestCase):
    """Guards against misread load reports and unreported order rejections."""

    async def test_load_report_is_parsed(self) -> None:
        self.state.control(
            {
                "slots": 1,
                "stall_requests": -1,
                "stall_s": emulators.ENDLESS_DELAY_S,
            }
        )
        for stream_id in ("a", "b"):
            response = await self.open(self.chat(stream_id=stream_id))
            self.addAsyncCleanup(response.close)
        report = await self.client.fetch_load(
            self.server, deadline=self.deadline
        )
        expected = backends.LoadReport(
            report.as_of_ms, 1, 1, 1, ("planner-small@v1",)
        )
        self.assertEqual(report, expected)

    async def test_order_with_stale_fencing_token_is_rejected(self) -> None:
        version = "planner-small@v2"
        load = backends.EngineOrder(backends.OrderKind.LOAD, version, 7)
        unload = backends.EngineOrder(backends.OrderKind.UNLOAD, version, 6)
        await self.client.send_order(self.server, load, deadline=self.deadline)
        with self.assertRaises(errors.DragonflydykeError) as caught:
            await self.client.send_order(
                self.server, unload, deadline=self.deadline
            )
        self.assertEqual(caught.exception.code, "engine_order_refused")
        self.assertIn(version, self.state.versions)
        self.state.control({"checks_fencing": False})
        await self.client.send_order(
            self.server, unload, deadline=self.deadline
        )
        self.assertNotIn(version, self.state.versions)
