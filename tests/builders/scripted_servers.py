"""Backend servers that run a script for each request, and their responses."""

import asyncio
import dataclasses
import json
import socket
import struct
from collections.abc import Awaitable, Callable

from dragonflydyke import settings

_LOCAL = settings.Address("127.0.0.1", 0)
_SMALL_BUFFER_BYTES = 65_536


@dataclasses.dataclass(slots=True)
class ReceivedRequest:
    """A request that a scripted server received."""

    line: str
    headers: dict[str, str]
    body: bytes


Script = Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    """Reads a start line and headers; header names are in title case."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    first, *lines = text.rstrip("\r\n").split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    return first, {name.title(): value.strip() for name, value in pairs}


class ScriptedServer:
    """A backend server that runs a script for each request.

    Attributes:
        name: Name of the server.
        script: Coroutine function that responds to a request.
        received: Requests in order of arrival.
        cancelled: Number of requests whose client disconnected early.
        report: Body of the load report, empty to never answer.
        report_calls: Number of calls of the load report.
        reads_bodies: Whether the body of a request is read before the script
            runs. Otherwise the system holds little of it, and none is read.
    """

    def __init__(self, name: str, script: Script) -> None:
        self.name = name
        self.script = script
        self.received: list[ReceivedRequest] = []
        self.cancelled = 0
        self.report = build_report()
        self.report_calls = 0
        self.reads_bodies = True
        self._server: asyncio.Server | None = None

    async def start(self) -> int:
        """Starts serving and returns the port."""
        listening = socket.create_server((_LOCAL.host, _LOCAL.port))
        if not self.reads_bodies:
            listening.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER_BYTES
            )
        self._server = await asyncio.start_server(
            self._serve, sock=listening, limit=_SMALL_BUFFER_BYTES
        )
        return listening.getsockname()[1]

    async def stop(self) -> None:
        """Stops accepting connections."""
        assert self._server is not None
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            line, found = await read_message(reader)
            if line.startswith("GET /api/report "):
                await self._send_report(reader, writer)
                return
            if not self.reads_bodies:
                request = ReceivedRequest(line, found, b"")
                self.received.append(request)
                await self.script(request, writer)
                return
            size = int(found.get("Content-Length", "0"))
            request = ReceivedRequest(
                line, found, await reader.readexactly(size)
            )
            self.received.append(request)
            script = asyncio.ensure_future(self.script(request, writer))
            closed = asyncio.ensure_future(reader.read())
            await asyncio.wait(
                (script, closed), return_when=asyncio.FIRST_COMPLETED
            )
            self.cancelled += not script.done()
            script.cancel()
            closed.cancel()
        except (
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            ConnectionError,
        ):
            pass
        finally:
            writer.close()

    async def _send_report(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.report_calls += 1
        if not self.report:
            # Returns when the node closes the connection.
            await reader.read()
            return
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(self.report)
            + self.report
        )
        await writer.drain()


def build_report(
    *, waiting: int = 0, running: int = 0, streaming: int = 0
) -> bytes:
    """Returns the load report of an engine."""
    fields = {
        "stage": "both",
        "waiting": waiting,
        "running": running,
        "runs": [[f"r{n}", 900, 3, 5] for n in range(streaming)],
        "kvUsed": 41_000,
        "kvTotal": 90_000,
    }
    return json.dumps(fields).encode()


def write_response(
    request: ReceivedRequest,
    writer: asyncio.StreamWriter,
    body: bytes,
    *,
    status: str = "200 OK",
    **extra: str,
) -> None:
    """Writes a complete signed response."""
    write_start(
        request, writer, status=status, Content_Length=str(len(body)), **extra
    )
    writer.write(body)


def write_start(
    request: ReceivedRequest,
    writer: asyncio.StreamWriter,
    *,
    status: str = "200 OK",
    **extra: str,
) -> None:
    """Writes the start of a signed response; underscores become dashes."""
    fields = {
        "Attempt-Id": request.headers["Attempt-Id"],
        "Runner-Seal": "seal",
    }
    fields.update((k.replace("_", "-"), v) for k, v in extra.items())
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    writer.write(f"HTTP/1.1 {status}\r\n{lines}\r\n".encode())


def write_stream_start(
    request: ReceivedRequest, writer: asyncio.StreamWriter, **extra: str
) -> None:
    """Writes the start of a signed stream of events."""
    write_start(
        request,
        writer,
        Content_Type="text/event-stream",
        Transfer_Encoding="chunked",
        **extra,
    )


def write_event(writer: asyncio.StreamWriter, event_id: int) -> None:
    """Writes one event as a chunk."""
    write_chunk(writer, f"id: {event_id}\ndata: piece\n\n".encode())


def write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Writes one chunk; an empty one ends the body."""
    writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection instead of closing it."""
    connection = writer.get_extra_info("socket")
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


def respond(
    status: str = "200 OK", body: bytes = b"done", **extra: str
) -> Script:
    """Returns a script that sends the same response to each request."""

    async def run(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        write_response(request, writer, body, status=status, **extra)
        await writer.drain()

    return run


def reject(**extra: str) -> Script:
    """Returns a script that rejects each request without running it."""
    return respond("503 Service Unavailable", Not_Executed="1", **extra)
