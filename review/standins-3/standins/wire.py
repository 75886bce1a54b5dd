"""HTTP/1.1 messages of the stand-ins."""

import asyncio
import dataclasses
import socket
import struct

_LINGER_RESET = struct.pack("ii", 1, 0)
_MAX_HEAD_BYTES = 65_536


@dataclasses.dataclass(slots=True)
class Message:
    """A request or a response.

    Attributes:
        start: Start line.
        headers: Values by lower-case name.
        body: The body as far as it arrived.
        is_complete: Whether the body arrived to its end.
    """

    start: str
    headers: dict[str, str]
    body: bytes = b""
    is_complete: bool = False

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Returns a message without its body, None if the connection ended."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = data.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_body(
    reader: asyncio.StreamReader, message: Message, *, is_response: bool
) -> None:
    """Reads the body of a message; it stays incomplete if that breaks off."""
    try:
        if "chunked" in message.headers.get("transfer-encoding", ""):
            await _read_chunks(reader, message)
        elif "content-length" in message.headers:
            length = int(message.headers["content-length"])
            message.body = await reader.readexactly(length)
            message.is_complete = True
        elif is_response:
            while data := await reader.read(_MAX_HEAD_BYTES):
                message.body += data
            message.is_complete = True
        else:
            message.is_complete = True
    except asyncio.IncompleteReadError as error:
        message.body += error.partial
    except OSError:
        return


async def _read_chunks(reader: asyncio.StreamReader, message: Message) -> None:
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            message.is_complete = True
            return
        message.body += data[:-2]


def format_head(start: str, headers: dict[str, str]) -> bytes:
    """Returns the bytes of a start line and headers."""
    lines = [start, *(f"{name}: {headers[name]}" for name in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin1")


def format_response(
    status: int, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Returns a response with a body of known length."""
    headers = {**headers, "Content-Length": str(len(body))}
    return format_head(f"HTTP/1.1 {status} -", headers) + body


def format_chunk(data: bytes) -> bytes:
    """Returns a chunk of a body; an empty one ends it."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a reset."""
    connection = writer.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
        )
    writer.transport.abort()
