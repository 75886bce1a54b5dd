"""Connections to backend servers through other nodes.

A node may lose its links to all servers while clients and the other nodes still
reach it. It then opens its connections through a neighbour, by the HTTP method
CONNECT: all decisions stay with the node that has the request, and the
neighbour only passes bytes on. A neighbour connects directly and never through
a third node, so that there are no loops.
"""

import asyncio
import enum
import re
import socket
import struct
from collections.abc import Awaitable, Callable

from tornado import iostream, tcpserver

from dragonflydyke import logs, metrics, settings
from dragonflydyke.backends import relayed

# Time for the request of a neighbour, which sends it at once, in seconds.
REQUEST_TIMEOUT_S = 1.0
_MAX_HEAD_BYTES = 1_024
_HEAD_END = b"\r\n\r\n"
_CHUNK_BYTES = 65_536
# Connections that a node passes on at the same time. Each takes two descriptors
# of the 264 that the limits on clients leave to everything else.
_MAX_TUNNELS = 100
_REQUEST_PATTERN = re.compile(
    rb"CONNECT (?P<host>[0-9.]+):(?P<port>[0-9]+) HTTP/1\.1\r\n"
    rb"Region: (?P<region>[!-~]*)\r\n\r\n"
)
_ACCEPTED = b"HTTP/1.1 200 OK" + _HEAD_END
_ACCEPTED_PATTERN = re.compile(rb"HTTP/1\.1 200 ")

_LOGGER = logs.get_logger("tunnels")


class Refusal(enum.Enum):
    """Why a node does not pass a connection on, with its status line."""

    MALFORMED = "400 Bad Request"
    FORBIDDEN = "403 Forbidden"
    UNREACHABLE = "502 Bad Gateway"
    UNAVAILABLE = "503 Service Unavailable"


class TunnelRefusedError(ConnectionError):
    """A neighbour does not pass a connection on."""


class TunnelServer(tcpserver.TCPServer):
    """Passes connections of other nodes on to servers.

    Attributes:
        is_closing: Whether new connections are refused, because the node stops.
    """

    def __init__(
        self,
        check: Callable[[settings.Address, str], Refusal | None],
        connect: Callable[[settings.Address], Awaitable[iostream.IOStream]],
        counters: metrics.Counters,
    ) -> None:
        """Creates a server that does not listen.

        Args:
            check: Returns why an address must not be connected to for a node in
                a region, None if it may be.
            connect: Opens a direct connection.
            counters: Receives `tunnel.passed` and `tunnel.refused.<reason>`.
        """
        super().__init__()
        self._check = check
        self._connect = connect
        self._counters = counters
        self._open: set[asyncio.Task[None]] = set()
        self.is_closing = False

    @property
    def active(self) -> int:
        """Number of connections that are passed on."""
        return len(self._open)

    def listen_at(self, address: settings.Address) -> None:
        """Starts listening; the node works without it if that fails."""
        try:
            self.listen(address.port, address.host)
        except OSError as error:
            _LOGGER.error(
                "no connections are passed on",
                address=str(address),
                error=str(error),
            )

    async def handle_stream(
        self, stream: iostream.IOStream, address: tuple[str, int]
    ) -> None:
        """Handles a connection of another node until it ends."""
        task = asyncio.current_task()
        assert task is not None
        self._open.add(task)
        try:
            await self._pass_on(stream)
        except OSError as error:
            _LOGGER.info("tunnel ended", peer=str(address), error=repr(error))
        finally:
            self._open.discard(task)
            stream.close()

    async def wait_idle(self, until_s: float) -> None:
        """Waits until no connection is passed on, or until a loop time."""
        timeout_s = until_s - asyncio.get_running_loop().time()
        if self._open and timeout_s > 0:
            await asyncio.wait(set(self._open), timeout=timeout_s)

    async def _pass_on(self, stream: iostream.IOStream) -> None:
        stream.set_nodelay(True)
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            head = await stream.read_until(_HEAD_END, max_bytes=_MAX_HEAD_BYTES)
        request = _REQUEST_PATTERN.fullmatch(head)
        if request is None:
            await self._refuse(stream, Refusal.MALFORMED)
            return
        target = settings.Address(
            request["host"].decode(), int(request["port"])
        )
        refusal = self._check(target, request["region"].decode())
        if self.is_closing or len(self._open) > _MAX_TUNNELS:
            refusal = Refusal.UNAVAILABLE
        if refusal is not None:
            await self._refuse(stream, refusal)
            return
        try:
            server = await self._connect(target)
        except OSError as error:
            _LOGGER.info(
                "server not reached for another node",
                server=str(target),
                error=repr(error),
            )
            await self._refuse(stream, Refusal.UNREACHABLE)
            return
        self._counters.increment("tunnel.passed")
        try:
            await stream.write(_ACCEPTED)
            await _splice(stream, server)
        finally:
            server.close()

    async def _refuse(
        self, stream: iostream.IOStream, refusal: Refusal
    ) -> None:
        self._counters.increment(f"tunnel.refused.{refusal.name.lower()}")
        await stream.write(f"HTTP/1.1 {refusal.value}".encode() + _HEAD_END)


async def open_tunnel(
    neighbour: settings.Address,
    target: settings.Address,
    region: str,
    timeout_s: float,
) -> relayed.RelayedStream:
    """Opens a connection to a server through a neighbour.

    Args:
        neighbour: Address at which the neighbour passes connections on.
        target: Address of the server.
        region: Region of this node.
        timeout_s: Seconds within which the connection has to be open.

    Raises:
        TunnelRefusedError: If the neighbour does not pass it on.
        OSError: If the neighbour cannot be reached.
        StreamClosedError: If the neighbour closes the connection.
        TimeoutError: If it takes too long.
    """
    stream = relayed.RelayedStream(
        socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    )
    try:
        async with asyncio.timeout(timeout_s):
            await stream.connect((neighbour.host, neighbour.port))
            stream.set_nodelay(True)
            await stream.write(
                f"CONNECT {target} HTTP/1.1\r\nRegion: {region}".encode()
                + _HEAD_END
            )
            head = await stream.read_until(_HEAD_END, max_bytes=_MAX_HEAD_BYTES)
        if not _ACCEPTED_PATTERN.match(head):
            raise TunnelRefusedError(head.split(b"\r\n")[0].decode("latin1"))
    except BaseException:
        stream.close()
        raise
    return stream


async def _splice(client: iostream.IOStream, server: iostream.IOStream) -> None:
    """Passes bytes on in both directions until either side ends.

    A server that resets its connection resets that of the client, too, as its
    response is then not complete.
    """
    sending = asyncio.create_task(_copy(client, server))
    receiving = asyncio.create_task(_copy(server, client))
    try:
        await asyncio.wait(
            (sending, receiving), return_when=asyncio.FIRST_COMPLETED
        )
        if server.error is not None and not client.closed():
            client.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
    finally:
        for task in (sending, receiving):
            task.cancel()


async def _copy(source: iostream.IOStream, sink: iostream.IOStream) -> None:
    """Copies bytes until one of the streams ends."""
    try:
        while True:
            await sink.write(
                await source.read_bytes(_CHUNK_BYTES, partial=True)
            )
    except iostream.StreamClosedError:
        return
