"""A TCP proxy that injects network faults between two processes."""

import asyncio
import contextlib
import dataclasses
import socket
import struct

_CHUNK_BYTES = 65_536
# SO_LINGER with a zero timeout makes close send a reset.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults that the proxy injects; may be changed at any time.

    Attributes:
        delay_s: Delay of each chunk, in both directions, in seconds.
        refuse: Whether new connections are reset at once.
        drop_to_server: Whether bytes to the server are discarded.
        drop_to_client: Whether bytes to the client are discarded.
        frozen: Whether forwarding is stalled while connections stay open.
        reset_after_bytes_to_server: Bytes to the server after which a
            connection is reset, or None.
        reset_after_bytes_to_client: Bytes to the client after which a
            connection is reset, or None.
    """

    delay_s: float = 0.0
    refuse: bool = False
    drop_to_server: bool = False
    drop_to_client: bool = False
    frozen: bool = False
    reset_after_bytes_to_server: int | None = None
    reset_after_bytes_to_client: int | None = None


class _ProxiedConnection:
    """One proxied connection."""

    __slots__ = ("_writers", "handler", "tasks")

    def __init__(self, *writers: asyncio.StreamWriter) -> None:
        self._writers = writers
        self.handler = asyncio.current_task()
        self.tasks: list[asyncio.Task[None]] = []

    def reset(self) -> None:
        """Closes both sides with a TCP reset."""
        for writer in self._writers:
            connection = writer.get_extra_info("socket")
            if connection is not None and not writer.is_closing():
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
            writer.transport.abort()


class FaultProxy:
    """Forwards connections to one server and injects faults.

    Attributes:
        faults: Faults that are injected.
        accepted_connections: Number of connections accepted so far.
        bytes_to_server: Bytes forwarded to the server so far.
        bytes_to_client: Bytes forwarded to the client so far.
    """

    __slots__ = (
        "_faults_cleared",
        "_host",
        "_open_connections",
        "_port",
        "_server",
        "accepted_connections",
        "bytes_to_client",
        "bytes_to_server",
        "faults",
    )

    def __init__(self, host: str, port: int) -> None:
        """Creates a proxy in front of a server, without listening yet."""
        self.faults = Faults()
        self.accepted_connections = 0
        self.bytes_to_server = 0
        self.bytes_to_client = 0
        self._host = host
        self._port = port
        self._open_connections: set[_ProxiedConnection] = set()
        self._faults_cleared = asyncio.Event()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """`host:port` at which the proxy listens."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def start(self) -> None:
        """Listens on an ephemeral loopback port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)

    async def stop(self) -> None:
        """Resets all connections and stops listening."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()
        tasks = [
            task
            for connection in self._open_connections
            for task in connection.tasks
        ]
        for task in tasks:
            task.cancel()
        # The connection handlers finish after their forwarding tasks.
        handlers = [connection.handler for connection in self._open_connections]
        await asyncio.gather(*tasks, *handlers, return_exceptions=True)

    def reset_connections(self) -> None:
        """Resets all open connections."""
        for connection in list(self._open_connections):
            connection.reset()

    def isolate(self) -> None:
        """Resets all open connections and each new one."""
        self.faults.refuse = True
        self.reset_connections()

    def clear_faults(self) -> None:
        """Clears all faults; resets connections if bytes were discarded."""
        lossy = self.faults.drop_to_client or self.faults.drop_to_server
        self.faults = Faults()
        if lossy:
            self.reset_connections()
        self._faults_cleared.set()
        self._faults_cleared = asyncio.Event()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted_connections += 1
        if self.faults.refuse:
            _ProxiedConnection(writer).reset()
            return
        try:
            upstream_reader, upstream = await asyncio.open_connection(
                self._host, self._port
            )
        except OSError:
            _ProxiedConnection(writer).reset()
            return
        proxied = _ProxiedConnection(writer, upstream)
        self._open_connections.add(proxied)
        proxied.tasks = [
            asyncio.create_task(self._forward(proxied, reader, upstream, True)),
            asyncio.create_task(
                self._forward(proxied, upstream_reader, writer, False)
            ),
        ]
        await asyncio.gather(*proxied.tasks, return_exceptions=True)
        proxied.reset()
        self._open_connections.discard(proxied)

    async def _forward(
        self,
        proxied: _ProxiedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        to_server: bool,
    ) -> None:
        forwarded = 0
        while chunk := await reader.read(_CHUNK_BYTES):
            await self._apply_delay_and_stall()
            if self._is_dropping(to_server):
                continue
            limit = self._get_reset_limit(to_server)
            if limit is not None and forwarded + len(chunk) > limit:
                writer.write(chunk[: max(0, limit - forwarded)])
                with contextlib.suppress(ConnectionError):
                    await writer.drain()
                # The delay lets the peer read the bytes before the reset.
                await asyncio.sleep(0.02)
                proxied.reset()
                return
            forwarded += len(chunk)
            self._count_bytes(len(chunk), to_server)
            writer.write(chunk)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()

    async def _apply_delay_and_stall(self) -> None:
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        while self.faults.frozen:
            await self._faults_cleared.wait()

    def _is_dropping(self, to_server: bool) -> bool:
        if to_server:
            return self.faults.drop_to_server
        return self.faults.drop_to_client

    def _get_reset_limit(self, to_server: bool) -> int | None:
        if to_server:
            return self.faults.reset_after_bytes_to_server
        return self.faults.reset_after_bytes_to_client

    def _count_bytes(self, size: int, to_server: bool) -> None:
        if to_server:
            self.bytes_to_server += size
        else:
            self.bytes_to_client += size
