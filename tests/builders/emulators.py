"""Emulators in the process of the test, on ephemeral ports."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

from tornado import web

from dragonflydyke import backends, metrics, settings
from dragonflydyke.configuration import model
from dragonflydyke.emulator import engine, serving
from tests.builders import documents, skipping_loop

LONG_TIMEOUT_S = 60.0
# Longer than any time that a test skips.
ENDLESS_DELAY_S = 1_000_000.0
MAX_BYTES = 10_000_000
ConnectionHandler = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]
_LOOPBACK = settings.Address("127.0.0.1", 0)


class EmulatorTestCase(skipping_loop.SkippingTestCase):
    """Test case with a backends client and emulators in the same process."""

    async def asyncSetUp(self) -> None:
        """Creates the backends client."""
        await super().asyncSetUp()
        self.replace_client()

    def replace_client(self) -> None:
        """Creates a new client with new counters."""
        self.counters = metrics.Counters()
        self.client = backends.BackendClient(
            self.counters, cancel_timeout_s=LONG_TIMEOUT_S
        )
        self.addAsyncCleanup(self.client.close)

    async def start(self, application: web.Application) -> model.BackendServer:
        """Serves an application until the test ends; returns the server."""
        server, port = serving.start_server(application, _LOOPBACK)
        self.addAsyncCleanup(serving.stop_server, server)
        return documents.build_engine(url=f"http://127.0.0.1:{port}")

    @property
    def deadline(self) -> float:
        """Loop time that a test exceeds only by skipping time."""
        return self.loop.time() + LONG_TIMEOUT_S

    async def open(
        self, request: backends.BackendRequest
    ) -> backends.BackendAnswer:
        """Sends a request and returns the response."""
        return await self.client.open(request, deadline=self.deadline)

    async def fetch(self, request: backends.BackendRequest) -> tuple[int, Any]:
        """Sends a request; returns the status and the JSON body."""
        async with await self.open(request) as response:
            text = await response.read_body(MAX_BYTES)
        return response.status, json.loads(text) if text else None


class EngineTestCase(EmulatorTestCase):
    """Test case with an emulated engine.

    Attributes:
        state: State of the engine.
        server: Server entry of the engine.
    """

    async def asyncSetUp(self) -> None:
        """Starts the engine."""
        await super().asyncSetUp()
        await self.start_engine()

    def chat(self, **fields: Any) -> backends.BackendRequest:
        """Returns a chat request to the engine; see build_chat_request."""
        return build_chat_request(self.server, **fields)

    async def start_engine(self) -> None:
        """Starts a new engine, which replaces the previous one."""
        self.state = engine.EngineState(("planner-small@v1",), seed=3)
        self.server = await self.start(engine.build_application(self.state))


def respond_with(data: bytes) -> ConnectionHandler:
    """Returns a handler that reads headers, sends bytes and closes."""

    async def handle_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        writer.close()

    return handle_connection


async def start_raw_server(
    test: EmulatorTestCase, handle_connection: ConnectionHandler
) -> model.BackendServer:
    """Starts a TCP server.

    Args:
        test: Test case at whose end the server is closed.
        handle_connection: Handles a connection; must close the writer.
    """
    server = await asyncio.start_server(handle_connection, "127.0.0.1", 0)
    test.addCleanup(server.close)
    port = server.sockets[0].getsockname()[1]
    return documents.build_engine(url=f"http://127.0.0.1:{port}")


def build_chat_request(
    server: model.BackendServer,
    *,
    content: str = "How many pallets?",
    stream_id: str = "stream-1",
    request_id: str = "request-1",
    **fields: Any,
) -> backends.BackendRequest:
    """Returns a streaming chat completion request."""
    body = {
        "model": "planner-small@v1",
        "stream": True,
        "messages": [{"role": "user", "content": content}],
        **fields,
    }
    headers = {
        "Content-Type": "application/json",
        backends.REQUEST_ID_HEADER: request_id,
    }
    if stream_id:
        headers[backends.STREAM_ID_HEADER] = stream_id
    return backends.BackendRequest(
        server,
        "POST",
        "/v1/chat/completions",
        headers,
        json.dumps(body, ensure_ascii=False).encode(),
    )


def extract_content(events: list[bytes]) -> str:
    """Returns the concatenated content of the events of a stream."""
    text = []
    for event in events:
        data = event.removeprefix(b"data: ")
        if data == b"[DONE]":
            continue
        for choice in json.loads(data)["choices"]:
            text.append(choice["delta"].get("content", ""))
    return "".join(text)
