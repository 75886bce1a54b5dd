"""A small HTTP/1.1 server and client on asyncio streams."""

import asyncio
import dataclasses
import json
from collections.abc import Awaitable, Callable
from typing import Any

_MAX_HEAD_BYTES = 65_536


@dataclasses.dataclass(slots=True)
class Request:
    """A request as it was received; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(slots=True)
class Response:
    """A complete response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[bool]]


def format_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Returns the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} -"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def format_json(status: int, value: Any) -> bytes:
    """Returns the bytes of a response with a JSON body."""
    body = json.dumps(value).encode()
    return format_response(status, {"Content-Type": "application/json"}, body)


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return start, headers


async def _read_chunked(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while size := int(await reader.readline(), 16):
        parts.append(await reader.readexactly(size))
        await reader.readline()
    await reader.readline()
    return b"".join(parts)


async def _serve_connection(
    handler: Handler,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    try:
        while (head := await _read_head(reader)) is not None:
            start, headers = head
            method, target, _ = start.split(" ", 2)
            length = int(headers.get("content-length", "0"))
            body = await reader.readexactly(length)
            request = Request(method, target, headers, body)
            if not await handler(request, writer):
                # Nothing more is said on this connection.
                await reader.read()
                return
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        return
    finally:
        writer.close()


async def start_server(
    handler: Handler, host: str = "127.0.0.1"
) -> tuple[asyncio.Server, int]:
    """Starts a server and returns it and its port.

    Args:
        handler: Answers a request; returns whether the connection goes on. If
            it does not, the connection stays open and silent.
        host: Address to listen on.
    """
    server = await asyncio.start_server(
        lambda reader, writer: _serve_connection(handler, reader, writer),
        host,
        0,
        limit=_MAX_HEAD_BYTES,
    )
    return server, server.sockets[0].getsockname()[1]


class Connection:
    """A client's connection, which it keeps for further requests.

    Attributes:
        is_used: Whether it has carried a request.
    """

    def __init__(self) -> None:
        self.is_used = False
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def is_open(self) -> bool:
        """Whether it can carry another request."""
        return self._writer is not None

    def close(self) -> None:
        """Closes it."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None

    async def send(
        self, host: str, port: int, request: Request, timeout_s: float
    ) -> Response | None:
        """Sends a request and returns the answer.

        An idle connection that the peer has closed is replaced by a new one.

        Returns:
            The answer, None if the connection ended without a complete one.

        Raises:
            TimeoutError: If there is no complete answer in time.
            OSError: If the connection cannot be opened or was reset.
        """
        async with asyncio.timeout(timeout_s):
            if self._reader is None or self._reader.at_eof():
                self.close()
                self.is_used = False
            if self._writer is None:
                self._reader, self._writer = await asyncio.open_connection(
                    host, port
                )
            assert self._reader is not None
            self.is_used = True
            self._writer.write(format_request(request))
            found = await _read_response(self._reader)
        is_last = found is None or (
            found.headers.get("connection", "").lower() == "close"
        )
        if is_last:
            self.close()
        return found


async def fetch(
    host: str, port: int, request: Request, timeout_s: float
) -> Response | None:
    """Sends a request on a connection of its own; see `Connection.send`."""
    connection = Connection()
    try:
        return await connection.send(host, port, request, timeout_s)
    finally:
        connection.close()


def format_request(request: Request) -> bytes:
    """Returns the bytes of a request."""
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in request.headers.items()]
    lines.append(f"Content-Length: {len(request.body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + request.body


async def _read_response(reader: asyncio.StreamReader) -> Response | None:
    head = await _read_head(reader)
    if head is None:
        return None
    start, headers = head
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = await _read_chunked(reader)
        else:
            length = int(headers.get("content-length", "0"))
            body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return Response(int(start.split(" ")[1]), headers, body)
