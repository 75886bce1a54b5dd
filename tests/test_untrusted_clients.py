"""Tests of a router process whose clients exceed the limits.

Each test lowers the limits in the settings and the configuration, lets a small
crowd of clients misbehave, and checks what does not depend on the speed of the
machine.
"""

import asyncio
import contextlib
import os
import pathlib
import tempfile
import unittest
from collections.abc import Awaitable, Callable

from dragonflydyke.emulator import serving
from tests.builders import forwarding, scripted_servers, store
from tests.soak import deployment

# Machine of the tests; a process without clients needs about 60 MB of it.
_MEMORY_BYTES = 120_000_000
_MAX_DESCRIPTORS = 400
# The rest is reserved for files.
_RESERVED_DESCRIPTORS = 200
_LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": 1_000_000,
    "headerTimeoutMs": 3_000,
    "idleTimeoutMs": 15_000,
}
_NEARLY_FULL = 950_000
_OVER_LIMIT = 3_000_000
# Time that a crowd has to send its data before the node is checked.
_CROWD_S = 8.0
_SETTLING_S = 5.0
_ANSWER_TIMEOUT_S = 30.0
_LARGE_RESPONSE = b"y" * 1_000_000
_CHUNKED = "Transfer-Encoding: chunked\r\n"
_PIECE = b"x" * 50_000

Client = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[object]
]


def _build_head(path: str, fields: str) -> bytes:
    return (
        f"POST {path} HTTP/1.1\r\nHost: {forwarding.HOST}\r\n"
        f"Attempt-Id: r1\r\nAuthorization: Token {forwarding.KEY}\r\n"
        f"Deadline-Ms: 8000\r\n{fields}\r\n"
    ).encode()


def _read_peak_kb(pid: int) -> int:
    """Returns the highest resident memory that a process had."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0])


async def _respond(
    request: scripted_servers.ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    body = _LARGE_RESPONSE if "/large" in request.line else b"ok"
    scripted_servers.write_response(request, writer, body)
    await writer.drain()


async def _send_chunks(
    writer: asyncio.StreamWriter, size: int, chunk: bytes
) -> None:
    """Sends chunks of a body without its end."""
    writer.write(_build_head("/safe/1", _CHUNKED))
    framed = b"%x\r\n" % len(chunk) + chunk + b"\r\n"
    per_write = max(1, len(_PIECE) // len(framed))
    for _ in range(0, size, len(chunk) * per_write):
        writer.write(framed * per_write)
        await writer.drain()


class UntrustedClientsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against clients that end a process or shut out other callers."""

    async def asyncSetUp(self) -> None:
        """Starts the store stub, a plain server and one node."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.stub = store.StoreStub()
        store_server, port = store.start_store(self.stub)
        self.addAsyncCleanup(serving.stop_server, store_server)
        server = scripted_servers.ScriptedServer("plain-1", _respond)
        server_port = await server.start()
        self.addAsyncCleanup(server.stop)
        await self.stub.put(
            "servers",
            "plain-1",
            store.build_server_spec(
                service="plain", address=f"127.0.0.1:{server_port}"
            ),
        )
        await self.stub.put("config", "main", self._build_policy())
        self.node = deployment.RouterProcess(
            0,
            pathlib.Path(folder.name),
            port,
            limits={
                "memoryMb": _MEMORY_BYTES / 1_000_000,
                "maxFds": _MAX_DESCRIPTORS,
            },
        )
        await self.node.store_proxy.start()
        self.addAsyncCleanup(self.node.store_proxy.stop)
        await self.node.start()
        self.addAsyncCleanup(self.node.kill)
        await self.node.wait_ready()
        self.crowd: list[asyncio.StreamWriter] = []
        self.addCleanup(self._close_crowd)

    def _build_policy(self) -> dict[str, object]:
        route = {
            "name": "safe",
            "host": forwarding.HOST,
            "pathPrefix": "/safe/",
            "kind": "idempotent",
            "timeoutMs": 8_000,
            "targetLatencyMs": 1_000,
            "priority": 0,
            "service": "plain",
            "maxAttempts": 2,
        }
        return store.build_policy_spec(
            routes=[route],
            services=[{"name": "plain"}],
            limits=_LIMITS,
            tenants=[{"name": "acme", "apiKeys": [forwarding.KEY]}],
        )

    def _close_crowd(self) -> None:
        for writer in self.crowd:
            writer.transport.abort()

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a connection to the node."""
        reader, writer = await asyncio.open_connection(
            self.node.host, self.node.front_port
        )
        self.crowd.append(writer)
        return reader, writer

    async def run_crowd(self, count: int, client: Client) -> None:
        """Runs clients, which stay connected, and checks the node."""

        async def run() -> None:
            with contextlib.suppress(ConnectionError):
                await client(*(await self.connect()))

        tasks = [asyncio.create_task(run()) for _ in range(count)]
        done, waiting = await asyncio.wait(tasks, timeout=_CROWD_S)
        for task in done:
            task.result()
        await self.check_node()
        # The node may not have read all that was sent.
        await asyncio.sleep(_SETTLING_S)
        await self.check_node()
        for task in waiting:
            task.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)

    async def check_node(self) -> None:
        """Checks memory and descriptors, and that a caller gets an answer."""
        descriptors = len(os.listdir(f"/proc/{self.node.pid}/fd"))
        response = await self.fetch(b"Content-Length: 2\r\n", b"hi")
        log = self.node.log_path.read_text()[-3_000:]
        self.assertEqual((response.status, response.body), (200, b"ok"), log)
        self.assertFalse(self.node.has_exited_unexpectedly)
        peak_kb = _read_peak_kb(self.node.pid)
        message = f"{self._testMethodName}: {peak_kb} kB, {descriptors} open"
        print(message, flush=True)
        self.assertLess(peak_kb * 1_024, _MEMORY_BYTES)
        self.assertLess(descriptors, _MAX_DESCRIPTORS - _RESERVED_DESCRIPTORS)

    async def fetch(
        self, fields: bytes, body: bytes
    ) -> forwarding.ClientResponse:
        """Sends a request and returns the response."""
        reader, writer = await self.connect()
        writer.write(_build_head("/safe/1", fields.decode()) + body)
        async with asyncio.timeout(_ANSWER_TIMEOUT_S):
            return await forwarding.read_response(reader)

    async def test_announced_body_over_the_limit(self) -> None:
        response = await self.fetch(
            f"Content-Length: {_OVER_LIMIT}\r\n".encode(), b""
        )
        self.assertEqual(response.status, 413)

        async def client(reader, writer) -> None:
            fields = f"Content-Length: {10 * _OVER_LIMIT}\r\n"
            writer.write(_build_head("/safe/1", fields))
            for _ in range(0, _OVER_LIMIT, len(_PIECE)):
                writer.write(_PIECE)
                await writer.drain()

        await self.run_crowd(40, client)

    async def test_body_over_the_limit_without_announcement(self) -> None:
        async def client(reader, writer) -> None:
            await _send_chunks(writer, _OVER_LIMIT, _PIECE)

        await self.run_crowd(40, client)

    async def test_large_chunks_that_stop_short(self) -> None:
        """Sixty such bodies of 4 MB took 236 MB of a machine of 160 MB."""

        async def client(reader, writer) -> None:
            await _send_chunks(writer, _NEARLY_FULL, _PIECE)

        await self.run_crowd(100, client)

    async def test_tiny_chunks_that_stop_short(self) -> None:
        async def client(reader, writer) -> None:
            await _send_chunks(writer, 10_000, b"x")

        await self.run_crowd(60, client)

    async def test_single_bytes_now_and_then(self) -> None:
        async def client(reader, writer) -> None:
            await _send_chunks(writer, _NEARLY_FULL - 50_000, _PIECE)
            while True:
                scripted_servers.write_chunk(writer, b"x")
                await writer.drain()
                await asyncio.sleep(0.3)

        await self.run_crowd(110, client)

    async def test_heads_that_never_end(self) -> None:
        async def client(reader, writer) -> None:
            writer.write(b"POST /safe/1 HTTP/1.1\r\n")
            while True:
                writer.write(b"A: %s\r\n" % (b"x" * 200))
                await writer.drain()
                await asyncio.sleep(0.5)

        await self.run_crowd(300, client)

    async def test_idle_connections(self) -> None:
        async def client(reader, writer) -> None:
            pass

        await self.run_crowd(500, client)

    async def test_responses_that_are_never_read(self) -> None:
        async def client(reader, writer) -> None:
            writer.transport.pause_reading()
            writer.write(_build_head("/safe/large", "Content-Length: 0\r\n"))
            await writer.drain()

        await self.run_crowd(150, client)

    async def test_pipelined_requests(self) -> None:
        async def client(reader, writer) -> None:
            writer.transport.pause_reading()
            head = _build_head("/safe/large", "Content-Length: 0\r\n")
            for _ in range(50):
                writer.write(head * 20)
                await writer.drain()

        await self.run_crowd(40, client)
