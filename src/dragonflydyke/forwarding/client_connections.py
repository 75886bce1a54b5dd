"""Connections of clients: their states, their timeouts and their number.

Designed for clients that open many connections and leave them idle, send
heads or bodies slowly, or do not read. Timeouts are checked twice a second by
a clock that leaves out the time in which the process was suspended.
"""

import asyncio
import collections
import contextlib
import enum
import http
from collections.abc import Callable, Iterable
from typing import Any

from tornado import http1connection, httputil, iostream, tcpserver

from dragonflydyke import buckets, logs, metrics
from dragonflydyke.forwarding import chunk_pacing, client_memory, model

_SWEEP_S = 0.5
# Smaller reads than Tornado's default bound what is read ahead.
_READ_BYTES = 16_384
# Bodies of tiny chunks begin with what is read together with their head.
_HEAD_READ_BYTES = 512
_MAX_BUFFER_BYTES = 1_000_000
# Larger heads, up to this multiple of the limit, get a response with 431.
_HEAD_LIMIT_FACTOR = 2
# A client may send the next request when the limit is nearly over.
_IDLE_MARGIN_S = 1.0
# `client_memory.PROGRESS_BYTES` must arrive in this time: 546 bytes a second.
BODY_PROGRESS_S = 30.0
RETRY_AFTER_S = 1.0
# Time in which a client that was rejected may send and read its response.
_LINGER_S = 1.0
# A response whose client takes nothing for so long is cut.
_MAX_UNREAD_S = 60.0
# The same if all unread responses together exceed `_MAX_UNREAD_BYTES`.
_MAX_UNREAD_SHORT_S = client_memory.UNREAD_GRACE_S
_MAX_UNREAD_BYTES = 8_000_000
# Bytes of an unread response that the account covers; the rest of a complete
# one is covered by `response_memory`.
ACCOUNTED_UNREAD_BYTES = 65_536
# Shorter pauses are no reason to close a connection for a new one.
_MIN_STALL_S = 1.0
# New connections that wait until another one can be closed. They use the
# descriptors that `client_memory` reserves for other purposes.
_MAX_WAITING = 16
_MAX_WAITING_S = 10.0
_LOG_LINES_PER_S = 5.0
_LOG_BURST_S = 4.0

_LOGGER = logs.get_logger("clients")


class ConnectionState(enum.Enum):
    """What a connection waits for."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    RUNNING = "running"
    REJECTED = "rejected"


class ClientStream(iostream.IOStream):
    """Stream that records what it reads and writes.

    Attributes:
        received_bytes: Bytes that were read.
        unsent_bytes: Bytes that wait for the client.
        head_bytes: Size of the last head.
        read_limit: Bytes to read at once, 0 for the usual number.
        on_read: Called after each read.
        on_write: Called with the bytes that each write sent.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Creates a stream for an accepted socket."""
        self.received_bytes = 0
        self.unsent_bytes = 0
        self.head_bytes = 0
        self.read_limit = 0
        self.on_read: Callable[[], object] = lambda: None
        self.on_write: Callable[[int], object] = lambda _: None
        super().__init__(*args, **kwargs)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Reads from the socket."""
        if self.read_limit:
            buf = memoryview(buf)[: self.read_limit]
        size = super().read_from_fd(buf)
        if size:
            self.received_bytes += size
            self.on_read()
        return size

    def write(self, data: bytes | memoryview) -> "asyncio.Future[None]":
        """Writes data; see `IOStream.write`."""
        if not self.unsent_bytes:
            self.on_write(0)
        self.unsent_bytes += len(data)
        return super().write(data)

    def write_to_fd(self, data: memoryview) -> int:
        """Writes to the socket."""
        size = super().write_to_fd(data)
        self.unsent_bytes -= size
        self.on_write(size)
        return size

    def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> "asyncio.Future[bytes]":
        """Reads the head of a message."""
        future = super().read_until_regex(regex, max_bytes)
        future.add_done_callback(self._record_head)
        return future

    def _record_head(self, future: "asyncio.Future[bytes]") -> None:
        if not future.cancelled() and future.exception() is None:
            self.head_bytes = len(future.result())


class ActiveClock:
    """Loop time without the time in which the process did not run."""

    __slots__ = ("_checked_s", "_lost_s")

    def __init__(self) -> None:
        """Creates a clock that equals the loop time."""
        self._checked_s: float | None = None
        self._lost_s = 0.0

    def find_time_s(self) -> float:
        """Returns the time in seconds."""
        return asyncio.get_running_loop().time() - self._lost_s

    def check(self) -> None:
        """Notices a suspension; called every `_SWEEP_S`."""
        now_s = asyncio.get_running_loop().time()
        if self._checked_s is not None:
            late_s = now_s - self._checked_s - _SWEEP_S
            self._lost_s += max(0.0, late_s)
        self._checked_s = now_s


class ClientConnection:
    """One connection of a client.

    Attributes:
        stream: The stream.
        holding: Memory that is held for it.
        peer: Address of the client.
        state: What it waits for.
        since_s: Time at which the state began.
        account: Client account of the current request, if known.
        is_closed: Whether the connection is closed.
        free: Frees the body that is being read.
        reject_body: Rejects the request whose body is being read, with a
            status, a reason and the seconds after which to retry, or None.
        has_request: Whether a complete request has not ended yet.
        serving: Tornado's connection, which reads the requests.
    """

    __slots__ = (
        "_accounted_bytes",
        "_body_start",
        "_chunked_body",
        "_clock",
        "_message_start",
        "_params",
        "_report",
        "_written_s",
        "account",
        "free",
        "has_request",
        "holding",
        "is_closed",
        "peer",
        "reject_body",
        "serving",
        "since_s",
        "state",
        "stream",
    )

    def __init__(
        self,
        stream: ClientStream,
        peer: str,
        memory: client_memory.ClientMemory,
        clock: ActiveClock,
        report: Callable[["ClientConnection", str, str], None],
    ) -> None:
        """Creates an idle connection.

        Args:
            stream: The stream.
            peer: Address of the client.
            memory: Account of the node.
            clock: Clock of the timeouts.
            report: Counts and logs a rejection or closing with its reason.
        """
        now_s = clock.find_time_s()
        self._clock = clock
        self._report = report
        self._accounted_bytes = 0
        self._written_s = now_s
        # Bytes that were received before the current message and its body.
        self._message_start = 0
        self._body_start = 0
        self._chunked_body: chunk_pacing.ChunkedBody | None = None
        # Bodies are limited by the reader of requests.
        self._params = http1connection.HTTP1ConnectionParameters(
            chunk_size=_READ_BYTES, max_body_size=1 << 40
        )
        self.stream = stream
        self.holding = client_memory.Holding(memory, self._give_way, now_s)
        self.peer = peer
        self.state = ConnectionState.IDLE
        self.since_s = now_s
        self.account = ""
        self.is_closed = False
        self.forget_reader()
        self.has_request = False
        self.serving: http1connection.HTTP1ServerConnection | None = None
        stream.on_read = self._record_read
        stream.on_write = self._record_write

    def serve(self, delegate: httputil.HTTPServerConnectionDelegate) -> object:
        """Starts reading requests; returns Tornado's connection."""
        self.serving = http1connection.HTTP1ServerConnection(
            self.stream, self._params, self.peer
        )
        self.serving.start_serving(delegate)
        return self.serving

    def await_request(self, max_header_bytes: int) -> None:
        """Prepares for the next request."""
        self.enter(ConnectionState.IDLE)
        self._params.max_header_size = max_header_bytes * _HEAD_LIMIT_FACTOR
        self._chunked_body = None
        self._message_start = self.stream.received_bytes
        self.stream.read_limit = _HEAD_READ_BYTES

    def start_body(self, *, is_chunked: bool) -> None:
        """Prepares for the body of a request."""
        self.enter(ConnectionState.BODY)
        self._body_start = self._message_start + self.stream.head_bytes
        self._params.chunk_size = _READ_BYTES
        self.stream.read_limit = 0
        self._chunked_body = None
        if is_chunked:
            self._chunked_body = chunk_pacing.ChunkedBody()
            self._apply_pace(self._chunked_body)

    def forget_reader(self) -> None:
        """Forgets the reader of a body that has ended."""
        self.free: Callable[[], object] = lambda: None
        self.reject_body: Callable[[int, str, float | None], object] = (
            lambda status, reason, retry_after_s: None
        )

    def pace(
        self, schedule: chunk_pacing.PieceSchedule, size: int
    ) -> asyncio.Future[None] | None:
        """Returns what to wait for before the next part of a body is read.

        Args:
            schedule: Turns of the chunked bodies of the node.
            size: Size of the body so far.
        """
        body = self._chunked_body
        if body is None:
            return None
        body.record_piece(self.stream.received_bytes - self._body_start, size)
        self._apply_pace(body)
        loop = asyncio.get_running_loop()
        wait_s = schedule.find_wait_s(body, loop.time())
        return asyncio.ensure_future(asyncio.sleep(wait_s)) if wait_s else None

    def _apply_pace(self, body: chunk_pacing.ChunkedBody) -> None:
        self._params.chunk_size = body.piece_bytes
        is_small = body.piece_bytes == chunk_pacing.SMALL_PIECE_BYTES
        self.stream.read_limit = (
            chunk_pacing.SMALL_READ_BYTES
            if is_small
            else chunk_pacing.LARGE_PIECE_BYTES
        )

    def enter(self, state: ConnectionState) -> None:
        """Enters a state."""
        now_s = self._clock.find_time_s()
        self.state = state
        self.since_s = now_s
        if state is ConnectionState.IDLE:
            self.account = ""
            self._accounted_bytes = 0
            self.holding.reset()
        elif state is ConnectionState.BODY:
            self.holding.start_transfer(now_s, is_unread=False)
        else:
            self.has_request = state is ConnectionState.RUNNING
            self.holding.end_transfer()

    def hold(self, size: int) -> bool:
        """Holds more bytes of a request unless there is no memory for them."""
        return self.holding.add(size, self._clock.find_time_s())

    def record_received(self, size: int) -> None:
        """Records a part of a body."""
        self.holding.record_transfer(size, self._clock.find_time_s())

    def record_response(self, *, is_complete: bool) -> None:
        """Accounts for what was written of a response."""
        if self.is_closed or self.stream.closed():
            return
        unread = min(self.stream.unsent_bytes, ACCOUNTED_UNREAD_BYTES)
        self.holding.add_unread(unread - self._accounted_bytes)
        self._accounted_bytes = unread
        if is_complete and unread:
            self.holding.start_transfer(self._written_s, is_unread=True)

    def finish_request(self) -> None:
        """Records that a request has ended."""
        self.has_request = False
        if self.is_closed:
            self.holding.release()

    def record_close(self) -> None:
        """Records that the connection is closed, maybe before its request."""
        self.is_closed = True
        if not self.has_request:
            self.holding.release()

    def find_unread_s(self) -> float:
        """Returns the seconds since the client took a part of a response."""
        if not self.stream.unsent_bytes:
            return 0.0
        return self._clock.find_time_s() - self._written_s

    def reject(
        self,
        status: int,
        reason: str,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Rejects the request that is being read; it has not run.

        What the client still sends is discarded for a short time, because
        closing at once could keep it from reading the response.
        """
        if self.state is ConnectionState.REJECTED or self.is_closed:
            return
        self._report(self, "rejected", reason)
        self.enter(ConnectionState.REJECTED)
        self.free()
        self.holding.reset()
        body = f"{reason}\n"
        lines = "".join(
            f"{name}: {text}\r\n" for name, text in headers.get_all()
        )
        data = (
            f"HTTP/1.1 {status} {http.HTTPStatus(status).phrase}\r\n{lines}"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n{body}"
        )
        with contextlib.suppress(iostream.StreamClosedError):
            self.stream.write(data.encode("latin1", "replace"))

    def close(self, reason: str) -> None:
        """Closes the connection for a reason of the node."""
        if self.is_closed or self.stream.closed():
            return
        self._report(self, "closed", reason)
        self.stream.close()

    def check(self, limits: model.ClientLimits) -> None:
        """Ends what has taken too long."""
        elapsed_s = self._clock.find_time_s() - self.since_s
        match self.state:
            case ConnectionState.IDLE:
                if elapsed_s > limits.idle_timeout_s + _IDLE_MARGIN_S:
                    self.close("idle")
            case ConnectionState.HEAD:
                if elapsed_s > limits.header_timeout_s:
                    self.reject(
                        http.HTTPStatus.REQUEST_TIMEOUT,
                        "header_timeout",
                        httputil.HTTPHeaders(),
                    )
            case ConnectionState.BODY:
                now_s = self._clock.find_time_s()
                if now_s - self.holding.progress_s > BODY_PROGRESS_S:
                    self.reject_body(
                        http.HTTPStatus.REQUEST_TIMEOUT, "body_timeout", None
                    )
            case ConnectionState.REJECTED:
                if elapsed_s > _LINGER_S:
                    self.stream.close()
        if self.find_unread_s() > _MAX_UNREAD_S:
            self.close("not_reading")

    def _give_way(self) -> None:
        """Frees the memory for others."""
        if self.state is ConnectionState.BODY:
            self.reject_body(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                "memory_full",
                RETRY_AFTER_S,
            )
            return
        self.close("memory_full")
        self.holding.reset()

    def _record_read(self) -> None:
        if self.state is ConnectionState.IDLE:
            self.enter(ConnectionState.HEAD)
        elif self._chunked_body is not None:
            received = self.stream.received_bytes - self._body_start
            self._chunked_body.record_read(received)
            self._apply_pace(self._chunked_body)

    def _record_write(self, size: int) -> None:
        self._written_s = self._clock.find_time_s()
        if self.state is ConnectionState.RUNNING and self.holding.is_unread:
            self.holding.record_transfer(size, self._written_s)


class _Listener(tcpserver.TCPServer):
    """Accepts connections and passes them on with their address."""

    def __init__(self, accept: Callable[[ClientStream, str], object]) -> None:
        super().__init__()
        self._accept = accept

    def handle_stream(self, stream: iostream.IOStream, address: Any) -> None:
        """Passes an accepted connection on."""
        accepted = ClientStream(
            stream.socket,
            max_buffer_size=_MAX_BUFFER_BYTES,
            read_chunk_size=_READ_BYTES,
        )
        self._accept(accepted, str(address[0]))


class ClientConnections:
    """All connections of clients of a node.

    Attributes:
        memory: Account of the memory that is held for clients.
        clock: Clock of the timeouts.
    """

    __slots__ = (
        "_bucket",
        "_connections",
        "_counters",
        "_delegate",
        "_find_limits",
        "_listener",
        "_logged_s",
        "_max_connections",
        "_reported_peak",
        "_skipped_lines",
        "_sweep",
        "_waiting",
        "clock",
        "memory",
    )

    def __init__(
        self,
        delegate: httputil.HTTPServerConnectionDelegate,
        find_limits: Callable[[], model.ClientLimits],
        memory: client_memory.ClientMemory,
        max_connections: int,
        counters: metrics.Counters,
    ) -> None:
        """Creates an empty table.

        Args:
            delegate: Reads the requests.
            find_limits: Returns the limits in force.
            memory: Account of the node.
            max_connections: Number of connections that may be open.
            counters: Counters of the process.
        """
        self._delegate = delegate
        self._find_limits = find_limits
        self._max_connections = max_connections
        self._counters = counters
        self._connections: dict[object, ClientConnection] = {}
        self._listener = _Listener(self._accept)
        self._bucket = buckets.TokenBucket(_LOG_BURST_S, 1.0)
        self._logged_s = 0.0
        self._skipped_lines = 0
        self._reported_peak = 0
        self._sweep: asyncio.TimerHandle | None = None
        self._waiting: collections.deque[ClientConnection] = collections.deque()
        self.clock = ActiveClock()
        self.memory = memory

    def listen(self, sockets: Iterable[Any]) -> None:
        """Starts accepting connections on bound sockets."""
        self._listener.add_sockets(sockets)
        self._schedule_check()

    def find(self, serving: object) -> ClientConnection:
        """Returns the connection that belongs to one of Tornado."""
        return self._connections[serving]

    def remove(self, serving: object) -> None:
        """Removes a closed connection."""
        self._connections.pop(serving).record_close()
        self._serve_waiting()

    def list_unstarted(self) -> list[ClientConnection]:
        """Returns the connections on which no request has started."""
        states = (ConnectionState.IDLE, ConnectionState.HEAD)
        return [c for c in self._connections.values() if c.state in states]

    def close_waiting(self) -> None:
        """Closes the connections that are not served yet."""
        while self._waiting:
            self._close_waiting(self._waiting.popleft())

    async def stop(self) -> None:
        """Stops accepting connections and closes all."""
        if self._sweep is not None:
            self._sweep.cancel()
        self._listener.stop()
        self.close_waiting()
        while self._connections:
            connection = next(iter(self._connections.values()))
            assert connection.serving is not None
            await connection.serving.close()

    def _accept(self, stream: ClientStream, peer: str) -> None:
        connection = ClientConnection(
            stream, peer, self.memory, self.clock, self._report
        )
        self._waiting.append(connection)
        self._serve_waiting()
        if len(self._waiting) > _MAX_WAITING:
            self._close_waiting(self._waiting.popleft())

    def _serve_waiting(self) -> None:
        """Serves waiting connections as far as there is room for them."""
        while self._waiting:
            if len(self._connections) >= self._max_connections:
                victim = self._find_victim()
                if victim is None:
                    return
                victim.close("too_many_connections")
            connection = self._waiting.popleft()
            self._connections[connection.serve(self._delegate)] = connection

    def _close_waiting(self, connection: ClientConnection) -> None:
        connection.close("too_many_connections")
        connection.holding.release()

    def _find_victim(self) -> ClientConnection | None:
        """Returns the connection to close for a new one.

        Idle connections come first, then heads, bodies and responses without
        progress, and in each case the longest wait. Requests at a server stay.
        """
        now_s = self.clock.find_time_s()
        best: ClientConnection | None = None
        best_rank = (0, 0.0)
        for connection in self._connections.values():
            waited_s = now_s - connection.since_s
            match connection.state:
                case ConnectionState.REJECTED:
                    rank = (5, waited_s)
                case ConnectionState.IDLE:
                    rank = (4, waited_s)
                case ConnectionState.HEAD if waited_s > _MIN_STALL_S:
                    rank = (3, waited_s)
                case ConnectionState.BODY:
                    waited_s = now_s - connection.holding.progress_s
                    rank = (2, waited_s) if waited_s > _MIN_STALL_S else (0, 0)
                case ConnectionState.RUNNING if connection.holding.is_unread:
                    waited_s = connection.find_unread_s()
                    long = waited_s > client_memory.UNREAD_GRACE_S
                    rank = (1, waited_s) if long else (0, 0)
                case _:
                    continue
            if rank > best_rank and not connection.stream.closed():
                best, best_rank = connection, rank
        return best

    def _schedule_check(self) -> None:
        loop = asyncio.get_running_loop()
        self._sweep = loop.call_later(_SWEEP_S, self._check_all)

    def _check_all(self) -> None:
        self._schedule_check()
        self.clock.check()
        self._serve_waiting()
        now_s = self.clock.find_time_s()
        while (
            self._waiting and now_s - self._waiting[0].since_s > _MAX_WAITING_S
        ):
            self._close_waiting(self._waiting.popleft())
        limits = self._find_limits()
        connections = list(self._connections.values())
        for connection in connections:
            connection.check(limits)
        unread = sum(c.stream.unsent_bytes for c in connections)
        if unread > _MAX_UNREAD_BYTES:
            self._close_unread(connections, unread - _MAX_UNREAD_BYTES)
        # A counter of the highest value, as counters can only be added to.
        self._counters.increment(
            "client.held_bytes", self.memory.peak_bytes - self._reported_peak
        )
        self._reported_peak = self.memory.peak_bytes

    def _close_unread(
        self, connections: list[ClientConnection], excess: int
    ) -> None:
        """Closes those that have not read for longest, until enough is free."""
        connections.sort(key=lambda c: c.find_unread_s(), reverse=True)
        for connection in connections:
            if excess <= 0 or connection.find_unread_s() < _MAX_UNREAD_SHORT_S:
                return
            excess -= connection.stream.unsent_bytes
            connection.close("not_reading")

    def _report(
        self, connection: ClientConnection, event: str, reason: str
    ) -> None:
        self._counters.increment(f"client.{event}.{reason}")
        now_s = asyncio.get_running_loop().time()
        self._bucket.refill(_LOG_LINES_PER_S, now_s - self._logged_s)
        self._logged_s = now_s
        if self._bucket.compute_wait_s(1.0) > 0.0:
            self._skipped_lines += 1
            return
        self._bucket.take(1.0)
        _LOGGER.notice(
            f"client {event}",
            reason=reason,
            account=connection.account,
            peer=connection.peer,
            bytes=connection.holding.size,
            state=connection.state.value,
            received_bytes=connection.stream.received_bytes,
            used_bytes=self.memory.used_bytes,
            skipped=self._skipped_lines,
        )
        self._skipped_lines = 0
