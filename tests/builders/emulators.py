"""Emulators in the test's own process, on ephemeral ports."""

import asyncio
import json
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

from tornado import web

from dragonflydyke import backends, settings
from dragonflydyke.configuration import model
from dragonflydyke.emulator import serving
from tests.builders import documents

_LOCAL = settings.Address("127.0.0.1", 0)


async def start_application(
    test: unittest.IsolatedAsyncioTestCase, application: web.Application
) -> model.BackendServer:
    """Serves an application until the test ends."""
    server, port = serving.start_server(application, _LOCAL)
    test.addAsyncCleanup(serving.stop_server, server)
    return documents.build_engine(url=f"http://127.0.0.1:{port}")


async def start_raw_server(
    test: unittest.IsolatedAsyncioTestCase,
    answer: Callable[
        [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
    ],
) -> model.BackendServer:
    """Serves connections by a function, for answers that break HTTP."""

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await answer(reader, writer)
        finally:
            writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
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


def read_content(events: list[bytes]) -> str:
    """Returns the text of the content chunks among events."""
    text = []
    for event in events:
        data = event.removeprefix(b"data: ")
        if data == b"[DONE]":
            continue
        for choice in json.loads(data)["choices"]:
            text.append(choice["delta"].get("content", ""))
    return "".join(text)
