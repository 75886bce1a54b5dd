"""Tests of the gateway before backend servers that break the protocol.

The responses go through real connections, from raw servers to real clients.
"""

import asyncio
import dataclasses
import json
import socket
from collections.abc import Awaitable, Callable
from typing import Any

from dragonflydyke import backends
from dragonflydyke.configuration import model
from tests.builders import gateway, gateway_case

_HEAD = (
    b"HTTP/1.1 200 OK\r\n"
    b"Content-Type: application/json\r\n"
    b"Content-Length: 7\r\n"
    b"\r\n"
)
_REFUSAL = b"HTTP/1.1 429 Too Many\r\nContent-Length: 4\r\n\r\nbusy"
_STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\n"
    b"Content-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n"
    b"\r\n"
)
_SERVICE_BODY = b"printed"
_UPLOAD = json.dumps({"text": "u" * 800_000})
_BUFFER_BYTES = 65_536
# Time for the gateway to read what was sent.
_READ_S = 0.05

Script = Callable[["_Connection"], Awaitable[None]]


class _Connection:
    """A connection to a raw server, after its first request was read."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        method: str,
    ) -> None:
        self.method = method
        self._reader = reader
        self._writer = writer

    async def write(self, data: bytes) -> None:
        """Writes bytes and waits until they are sent."""
        self._writer.write(data)
        await self._writer.drain()

    async def write_chunk(self, data: bytes) -> None:
        """Writes a chunk of a chunked body; empty data ends the body."""
        await self.write(b"%x\r\n%s\r\n" % (len(data), data))

    def reset(self) -> None:
        """Closes the connection with a reset."""
        self._writer.transport.abort()

    def close_orderly(self) -> None:
        """Ends the response; what still arrives resets the connection."""
        self._writer.get_extra_info("socket").shutdown(socket.SHUT_WR)


class FaultyBackendTestCase(gateway_case.GatewayTestCase):
    """Runs a gateway with a real backend client before raw servers.

    Attributes:
        scripts: Behaviour of each server by name; called for each connection.
        received: Names of the servers, one for each received request.
        reads_bodies: Whether the servers read bodies of requests.
    """

    async def asyncSetUp(self) -> None:
        """Starts two engines and a service."""
        await super().asyncSetUp()
        self.scripts: dict[str, Script] = {}
        self.received: list[str] = []
        self.reads_bodies = True
        client = backends.BackendClient(self.services.counters)
        self.addAsyncCleanup(client.close)
        self.services.backends = client
        servers = self.services.state.current.document.backend_servers
        self.replace_configuration(
            backend_servers=tuple(
                [await self.start_server(server) for server in servers]
            )
        )

    async def start_server(
        self, server: model.BackendServer
    ) -> model.BackendServer:
        """Starts a raw server and returns its entry with the address."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            try:
                method = await _read_request(reader, self.reads_bodies)
                if method == "POST":
                    self.received.append(server.name)
                connection = _Connection(reader, writer, method)
                await self.scripts[server.name](connection)
            except (
                ConnectionError,
                asyncio.CancelledError,
                asyncio.IncompleteReadError,
            ):
                pass
            finally:
                writer.close()

        # Long bodies that are not read do not fit into the system's buffer.
        bound = socket.create_server(("127.0.0.1", 0))
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES)
        listening = await asyncio.start_server(
            serve, sock=bound, limit=_BUFFER_BYTES
        )
        self.addCleanup(listening.close)
        port = listening.sockets[0].getsockname()[1]
        return dataclasses.replace(server, url=f"http://127.0.0.1:{port}")

    def script_engines(self, script: Script) -> None:
        """Sets the behaviour of both engines."""
        self.scripts |= {"engine-1": script, "engine-2": script}

    async def print_label(self, key: str) -> Any:
        """Makes a call that may run only once."""
        return await self.fetch(
            gateway_case.PRINT_PATH,
            body="{}",
            headers={"Idempotency-Key": key},
        )


async def _read_request(reader: asyncio.StreamReader, reads_body: bool) -> str:
    """Reads a request, or only its head; returns its method."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    for line in head.splitlines():
        name, _, value = line.partition(":")
        if name.lower() == "content-length" and reads_body:
            await reader.readexactly(int(value))
    return head.split(" ", 1)[0]


class TruncatedHeadTest(FaultyBackendTestCase):
    """Guards against a 200 with an empty body after a truncated head."""

    async def test_call_with_a_truncated_head_fails(self) -> None:
        for is_reset in (False, True):
            for size in range(1, len(_HEAD) + len(_SERVICE_BODY)):
                with self.subTest(size=size, is_reset=is_reset):
                    self.scripts["labels-1"] = _truncate(size, is_reset)
                    response = await self.print_label(f"{size} {is_reset}")
                    self.assertEqual(response.code, 502, response.body)
                    error = json.loads(response.body)["error"]
                    self.assertEqual(error["execution"], "unknown")

    async def test_chat_with_a_truncated_head_fails(self) -> None:
        for is_stream in (False, True):
            for size in (1, 9, 17, 30, len(_HEAD) - 2, len(_HEAD) - 1):
                with self.subTest(size=size, is_stream=is_stream):
                    self.script_engines(_truncate(size, is_reset=False))
                    response = await self.fetch(stream=is_stream)
                    self.assertNotIn(b"[DONE]", response.body)
                    self.assertIn(b'"execution": "unknown"', response.body)

    async def test_whole_response_is_delivered(self) -> None:
        """The checks above fail for no other reason."""
        size = len(_HEAD) + len(_SERVICE_BODY)
        self.scripts["labels-1"] = _truncate(size, is_reset=False)
        response = await self.print_label("whole")
        self.assertEqual((response.code, response.body), (200, _SERVICE_BODY))


def _truncate(size: int, is_reset: bool) -> Script:
    """Returns a script that sends the start of a response and closes."""

    async def run(connection: _Connection) -> None:
        await connection.write((_HEAD + _SERVICE_BODY)[:size])
        if is_reset:
            connection.reset()

    return run


class RepeatedRefusalTest(FaultyBackendTestCase):
    """Guards against the refusal of one request taken for that of another."""

    async def test_refusal_sent_twice_affects_one_request(self) -> None:
        """The second refusal came where the next response was expected."""

        async def refuse_twice(connection: _Connection) -> None:
            await connection.write(_REFUSAL + _REFUSAL)
            # A client that keeps the connection would send the next request.
            await asyncio.sleep(_READ_S)

        async def run(connection: _Connection) -> None:
            await connection.write(_HEAD + _SERVICE_BODY)

        self.scripts["labels-1"] = refuse_twice
        response = await self.print_label("first")
        self.assertGreaterEqual(response.code, 400)
        count = len(self.received)
        self.scripts["labels-1"] = run
        response = await self.print_label("second")
        self.assertEqual((response.code, response.body), (200, _SERVICE_BODY))
        self.assertEqual(len(self.received), count + 1)

    async def test_refusal_after_a_whole_response_is_ignored(self) -> None:
        """A refusal after the whole response belongs to no request."""

        async def run(connection: _Connection) -> None:
            await connection.write(_HEAD + _SERVICE_BODY + _REFUSAL)

        self.scripts["labels-1"] = run
        response = await self.print_label("key")
        self.assertEqual((response.code, response.body), (200, _SERVICE_BODY))
        self.assertEqual(len(self.received), 1)


class BrokenStreamTest(FaultyBackendTestCase):
    """Guards against bytes of an error in the middle of a stream."""

    async def check_stream(self, resumed: bytes) -> None:
        """Checks a stream that breaks off and is resumed with a response."""

        async def run(connection: _Connection) -> None:
            if connection.method != "POST":
                await connection.write(resumed)
                return
            await connection.write(_STREAM_HEAD)
            await connection.write_chunk(gateway.build_chunk_event("first"))
            await connection.write_chunk(
                gateway.build_chunk_event("second")[:20]
            )
            # A reset discards what the gateway has not read.
            await asyncio.sleep(_READ_S)
            connection.reset()

        self.script_engines(run)
        response = await self.fetch(stream=True)
        self.assertEqual(response.body.count(b'"content": "first"'), 1)
        self.assertNotIn(b"[DONE]", response.body)
        self.assertNotIn(b"secret", response.body)
        self.assertNotIn(b"HTTP/1.1", response.body)
        *events, last = response.body.strip().split(b"\n\n")
        for event in events:
            value = json.loads(event.removeprefix(b"data: "))
            self.assertEqual(value["object"], "chat.completion.chunk")
        error = json.loads(last.removeprefix(b"data: "))["error"]
        self.assertEqual(error["execution"], "unknown")

    async def test_error_of_a_resumed_stream_is_not_sent_on(self) -> None:
        for status in (404, 429, 500, 503):
            with self.subTest(status=status):
                await self.check_stream(
                    b"HTTP/1.1 %d X\r\nContent-Length: 12\r\n\r\nsecret error"
                    % status
                )

    async def test_error_text_with_status_200_is_not_sent_on(self) -> None:
        for body in (
            b'{"error": "secret"}',
            b"secret error\n\n",
            b"HTTP/1.1 500 secret\r\n\r\n\n\n",
            b'data: {"error": {"message": "x"}}\n\n',
            b"data: secret error\n\n",
            b"",
        ):
            with self.subTest(body=body):
                await self.check_stream(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
                    % (len(body), body)
                )

    async def test_truncated_head_of_a_resumed_stream_is_no_end(self) -> None:
        for size in (1, 17, len(_STREAM_HEAD) - 1):
            with self.subTest(size=size):
                await self.check_stream(_STREAM_HEAD[:size])


class EarlyResponseTest(FaultyBackendTestCase):
    """Guards against a part of a response that is delivered as the whole.

    The server broke off during the upload, or its status was none.
    """

    async def check_call(self, first: bytes, *, is_reset: bool) -> None:
        """Checks that a call fails whose response is broken off."""

        async def run(connection: _Connection) -> None:
            await connection.write(first)
            await asyncio.sleep(_READ_S)
            if is_reset:
                connection.reset()
            else:
                connection.close_orderly()
            await asyncio.sleep(_READ_S)

        self.scripts["labels-1"] = run
        response = await self.fetch(
            gateway_case.PRINT_PATH,
            body=_UPLOAD,
            headers={"Idempotency-Key": f"{first!r} {is_reset}"},
        )
        self.assertEqual(response.code, 502, response.body)
        error = json.loads(response.body)["error"]
        self.assertEqual(error["execution"], "unknown")

    async def test_part_of_a_response_to_a_call_is_not_delivered(self) -> None:
        self.reads_bodies = False
        for framing in (
            b"",
            b"Content-Length: 5000\r\n",
            b"Transfer-Encoding: chunked\r\n",
        ):
            for is_reset in (False, True):
                with self.subTest(framing, is_reset=is_reset):
                    part = (
                        b"4\r\npart\r\n" if b"chunked" in framing else b"part"
                    )
                    head = b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n"
                    await self.check_call(head + part, is_reset=is_reset)

    async def test_part_of_a_stream_does_not_look_complete(self) -> None:
        self.reads_bodies = False
        event = gateway.build_chunk_event("first")
        unframed = _STREAM_HEAD.replace(b"Transfer-Encoding: chunked\r\n", b"")
        heads = {
            unframed: event,
            _STREAM_HEAD: b"%x\r\n%s\r\n" % (len(event), event),
        }
        messages = [{"role": "user", "content": "u" * 800_000}]
        for head, part in heads.items():
            with self.subTest(head):

                async def run(
                    connection: _Connection, data: bytes = head + part
                ) -> None:
                    if connection.method != "POST":
                        return
                    await connection.write(data)
                    await asyncio.sleep(_READ_S)
                    connection.close_orderly()
                    await asyncio.sleep(_READ_S)

                self.script_engines(run)
                response = await self.fetch(stream=True, messages=messages)
                self.assertNotIn(b"[DONE]", response.body)
                self.assertIn(b'"error"', response.body)

    async def test_invalid_status_is_no_response(self) -> None:
        for status in (b"000", b"099", b"600", b"999"):
            for framing in (b"", b"Content-Length: 4\r\n"):
                with self.subTest(status, framing=framing):
                    head = b"HTTP/1.1 %s X\r\n%s\r\n" % (status, framing)
                    await self.check_call(head + b"text", is_reset=False)
                    self.script_engines(self.scripts["labels-1"])
                    for is_stream in (False, True):
                        response = await self.fetch(stream=is_stream)
                        self.assertGreaterEqual(response.code, 500)
