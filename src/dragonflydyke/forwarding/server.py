"""HTTP server for the clients of forwarded requests."""

import asyncio
import contextlib
import http
from collections.abc import Callable, Sequence

from tornado import http1connection, httputil, iostream, netutil

from dragonflydyke import logs, metrics, settings
from dragonflydyke.forwarding import (
    chunk_pacing,
    client_connections,
    client_memory,
    contexts,
    execution,
    messages,
    model,
)

_HEADER_LENGTH = "Content-Length"
_HEADER_CONNECTION = "Connection"
_BAD_REQUEST = 400
_TOO_LARGE = 413
_HEAD_TOO_LARGE = 431
_UNAVAILABLE = 503
# A client that streams gets this far ahead of what it has read before its
# server has to wait.
_MAX_BACKLOG_BYTES = client_connections.ACCOUNTED_UNREAD_BYTES
# A client that then takes nothing for so long must not keep its server.
_MAX_BACKLOG_STALL_S = 5.0
_BACKLOG_POLL_S = 1.0
# Bytes that are discarded after a rejection, so that its client can read it.
_MAX_DISCARDED_BYTES = 8_000_000
# Responses to interrupted requests need no answer of any other process.
_ABORT_TIMEOUT_S = 0.2

_LOGGER = logs.get_logger("server")


class ConnectionResponseWriter:
    """Writes the response to one request on its connection."""

    __slots__ = (
        "_callback",
        "_client",
        "_connection",
        "_is_draining",
        "is_closed",
    )

    def __init__(
        self,
        connection: http1connection.HTTP1Connection,
        client: client_connections.ClientConnection,
        is_draining: Callable[[], bool],
    ) -> None:
        self._connection = connection
        self._client = client
        self._is_draining = is_draining
        self._callback: Callable[[], object] | None = None
        self.is_closed = False
        connection.set_close_callback(self._record_close)

    def set_close_callback(self, callback: Callable[[], object] | None) -> None:
        """Sets the function to call when the client closes its connection."""
        self._callback = callback
        if callback is not None and self.is_closed:
            callback()

    def send_response(
        self,
        status: int,
        headers: httputil.HTTPHeaders,
        parts: Sequence[bytes],
    ) -> asyncio.Future[None]:
        """Sends a complete response; see `contexts.ResponseWriter`."""
        if not self.is_closed:
            headers[_HEADER_LENGTH] = str(sum(len(part) for part in parts))
            self._write_start(status, headers)
            for part in parts:
                self._connection.write(part)
            self._connection.finish()
            self._client.record_response(is_complete=True)
        return self._flush()

    def start(self, status: int, headers: httputil.HTTPHeaders) -> None:
        """Sends status and headers of a response of unknown length."""
        headers.pop(_HEADER_LENGTH, None)
        self._write_start(status, headers)

    async def write(self, chunk: bytes) -> None:
        """Sends a part of the body.

        Waits while the client is far behind, so that the memory that is held
        for it is bounded.

        Raises:
            ClientDisconnectedError: If the connection is closed, also because
                the client does not read.
        """
        stream = self._client.stream
        if stream.closed():
            raise contexts.ClientDisconnectedError
        # Its future may never complete; see `_flush`.
        self._connection.write(chunk)
        self._client.record_response(is_complete=False)
        if stream.unsent_bytes > _MAX_BACKLOG_BYTES:
            await self._wait_for_client()
        if stream.closed():
            raise contexts.ClientDisconnectedError

    async def _wait_for_client(self) -> None:
        """Waits until the client has caught up or the connection is closed."""
        flushed = self._flush()
        while not flushed.done():
            if self._client.find_unread_s() > _MAX_BACKLOG_STALL_S:
                self._client.close("not_reading")
                return
            await asyncio.wait((flushed,), timeout=_BACKLOG_POLL_S)

    def finish(self) -> None:
        """Completes the response."""
        if not self.is_closed:
            self._connection.finish()
            self._client.record_response(is_complete=True)

    def abort(self) -> None:
        """Closes the connection, so that the response is incomplete."""
        self._connection.close()

    async def wait_written(self) -> None:
        """Waits until all is written, or until the connection is closed."""
        with contextlib.suppress(iostream.StreamClosedError):
            await self._flush()

    def _write_start(self, status: int, headers: httputil.HTTPHeaders) -> None:
        if self._is_draining():
            headers[_HEADER_CONNECTION] = "close"
        reason = http.HTTPStatus(status).phrase if status in _PHRASES else "-"
        start_line = httputil.ResponseStartLine("HTTP/1.1", status, reason)
        self._connection.write_headers(start_line, headers)

    def _flush(self) -> asyncio.Future[None]:
        """Returns a future that is done once all is written, or closed.

        A future of the connection is not: it completes with an earlier write.
        """
        try:
            return self._connection.stream.write(b"")
        except iostream.StreamClosedError:
            closed = asyncio.get_running_loop().create_future()
            closed.set_result(None)
            return closed

    def _record_close(self) -> None:
        self.is_closed = True
        if self._callback is not None:
            self._callback()


_PHRASES = frozenset(status.value for status in http.HTTPStatus)


class _RequestReader(httputil.HTTPMessageDelegate):
    """Collects one request and passes it to the server when complete.

    Limits are applied while it reads. A request that exceeds one is rejected
    at once, and what its client still sends is discarded.
    """

    __slots__ = (
        "_body",
        "_client",
        "_connection",
        "_discarded_bytes",
        "_headers",
        "_server",
        "_size",
        "_start",
    )

    def __init__(
        self,
        server: "ForwardingServer",
        client: client_connections.ClientConnection,
        connection: http1connection.HTTP1Connection,
    ) -> None:
        self._server = server
        self._client = client
        self._connection = connection
        # Joins the parts, because each separate one costs more than its bytes.
        self._body = bytearray()
        self._size = 0
        self._discarded_bytes = 0

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Records the start line and headers of the request."""
        client = self._client
        if self._is_rejected:
            return
        self._start = start_line
        self._headers = headers
        client.start_body(is_chunked="Transfer-Encoding" in headers)
        client.free = self._free
        client.reject_body = self._reject
        stream = client.stream
        limits = self._server.limits
        length = headers.get(_HEADER_LENGTH, "")
        if stream.head_bytes > limits.max_header_bytes:
            self._reject(_HEAD_TOO_LARGE, "head_too_large")
        elif length.isdecimal() and _exceeds(length, limits.max_body_bytes):
            self._reject(_TOO_LARGE, "body_too_large")
        else:
            count = sum(1 for _ in headers.get_all())
            self._hold(
                client_memory.estimate_head_bytes(stream.head_bytes, count)
            )

    def data_received(self, chunk: bytes) -> asyncio.Future[None] | None:
        """Stores a part of the body; the result delays the next part."""
        self._size += len(chunk)
        if self._is_rejected:
            self._discarded_bytes += len(chunk)
            if self._discarded_bytes > _MAX_DISCARDED_BYTES:
                self._client.stream.close()
        elif self._size > self._server.limits.max_body_bytes:
            self._reject(_TOO_LARGE, "body_too_large")
        elif self._hold(len(chunk)):
            self._body += chunk
            self._client.record_received(len(chunk))
        return self._client.pace(self._server.schedule, self._size)

    def finish(self) -> None:
        """Starts forwarding the complete request."""
        if self._is_rejected:
            self._client.stream.close()
            return
        body = bytes(self._body)
        self._free()
        self._client.enter(client_connections.ConnectionState.RUNNING)
        self._server.start_forwarding(
            self._client, self._connection, self._start, self._headers, body
        )

    def on_connection_close(self) -> None:
        """Discards a request that was not received completely."""
        self._free()

    @property
    def _is_rejected(self) -> bool:
        rejected = client_connections.ConnectionState.REJECTED
        return self._client.state is rejected

    def _free(self) -> None:
        self._body = bytearray()
        self._client.forget_reader()

    def _hold(self, size: int) -> bool:
        """Holds more bytes, or rejects the request; it has not run."""
        if self._client.hold(size):
            return True
        self._reject(
            _UNAVAILABLE, "memory_full", client_connections.RETRY_AFTER_S
        )
        return False

    def _reject(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> None:
        headers = self._server.describe_rejection(
            self._client, self._headers, retry_after_s
        )
        # Otherwise Tornado would ask for the body after the response.
        self._headers.pop("Expect", None)
        self._client.reject(status, reason, headers)


def _exceeds(length: str, limit: int) -> bool:
    """Returns whether a length of any number of digits is above a limit."""
    digits = length.lstrip("0")
    return len(digits) > len(str(limit)) or int(digits or "0") > limit


_DEFAULT_MACHINE = model.MachineLimits()
_DEFAULT_LIMITS = model.ClientLimits()


class ForwardingServer(httputil.HTTPServerConnectionDelegate):
    """Reads requests of clients and passes them to the forwarder.

    Attributes:
        is_draining: Whether responses ask clients to close their connections.
        schedule: Turns of the chunked bodies.
    """

    __slots__ = (
        "_codec",
        "_connections",
        "_forwarder",
        "_tasks",
        "is_draining",
        "schedule",
    )

    def __init__(
        self,
        forwarder: execution.Forwarder,
        codec: messages.HeaderCodec,
        machine: model.MachineLimits = _DEFAULT_MACHINE,
        counters: metrics.Counters | None = None,
    ) -> None:
        """Creates a server that does not listen.

        Args:
            forwarder: Handles complete requests.
            codec: Translates requests and responses to headers.
            machine: Memory and descriptors of this VM.
            counters: Counters of the process.
        """
        self._forwarder = forwarder
        self._codec = codec
        self._tasks: set[asyncio.Task[None]] = set()
        self.schedule = chunk_pacing.PieceSchedule()
        self.is_draining = False
        budget_bytes = client_memory.find_budget_bytes(machine.memory_bytes)
        self._connections = client_connections.ClientConnections(
            self,
            lambda: self.limits,
            client_memory.ClientMemory(budget_bytes),
            client_memory.find_max_connections(
                machine.max_descriptors, budget_bytes
            ),
            counters or metrics.Counters(),
        )

    @property
    def active(self) -> int:
        """Number of requests whose responses are not written completely."""
        return len(self._tasks)

    @property
    def client_memory(self) -> client_memory.ClientMemory:
        """Account of the memory that is held for clients."""
        return self._connections.memory

    @property
    def limits(self) -> model.ClientLimits:
        """Limits in force; defaults before the first configuration."""
        policy = self._forwarder.policy
        return policy.limits if policy is not None else _DEFAULT_LIMITS

    def listen(self, address: settings.Address) -> int:
        """Starts accepting connections and returns the bound port."""
        sockets = netutil.bind_sockets(address.port, address.host)
        self._connections.listen(sockets)
        return sockets[0].getsockname()[1]

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Returns the reader of the next request on a connection."""
        assert isinstance(request_conn, http1connection.HTTP1Connection)
        client = self._connections.find(server_conn)
        client.await_request(self.limits.max_header_bytes)
        return _RequestReader(self, client, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Removes a closed connection; called by Tornado."""
        self._connections.remove(server_conn)

    def describe_rejection(
        self,
        client: client_connections.ClientConnection,
        headers: httputil.HTTPHeaders,
        retry_after_s: float | None,
    ) -> httputil.HTTPHeaders:
        """Returns the headers of a rejection and records the account."""
        request_id = ""
        with contextlib.suppress(ValueError):
            details = self._codec.read_request(headers)
            request_id = details.request_id
            policy = self._forwarder.policy
            account = policy.find_account(details.api_key) if policy else None
            client.account = account.name if account else ""
        return self._codec.write_rejection(request_id, retry_after_s)

    def start_forwarding(
        self,
        client: client_connections.ClientConnection,
        connection: http1connection.HTTP1Connection,
        start_line: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
        body: bytes,
    ) -> None:
        """Starts forwarding a complete request."""
        writer = ConnectionResponseWriter(
            connection, client, lambda: self.is_draining
        )
        try:
            details = self._codec.read_request(headers)
        except ValueError as error:
            _LOGGER.info("request headers cannot be parsed", error=str(error))
            rejection = self._codec.write_rejection("", None)
            body = f"{error}\n".encode()
            writer.send_response(_BAD_REQUEST, rejection, (body,))
            client.finish_request()
            return
        request = messages.IncomingRequest(
            method=start_line.method,
            target=start_line.path,
            host=headers.get("Host", ""),
            headers=headers,
            body=body,
            received_s=asyncio.get_running_loop().time(),
            details=details,
        )
        task = asyncio.create_task(self._forward(request, writer))
        self._tasks.add(task)
        task.add_done_callback(lambda _: self._finish_task(task, client))

    async def _forward(
        self,
        request: messages.IncomingRequest,
        writer: ConnectionResponseWriter,
    ) -> None:
        """Forwards a request, which ends when its response is written.

        A stop would otherwise cut a response that the client still receives.
        """
        await self._forwarder.forward(request, writer)
        await writer.wait_written()

    def close_idle(self) -> None:
        """Closes the connections on which no request has started."""
        self._connections.close_waiting()
        for client in self._connections.list_unstarted():
            client.stream.close()

    async def wait_idle(self, until_s: float) -> None:
        """Waits until no request is in flight, or until a loop time."""
        loop = asyncio.get_running_loop()
        while self._tasks and loop.time() < until_s:
            timeout_s = until_s - loop.time()
            await asyncio.wait(self._tasks, timeout=timeout_s)

    async def stop(self) -> None:
        """Ends the requests in flight and closes all connections.

        Their clients get a response, unless one has already started.
        """
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=_ABORT_TIMEOUT_S)
        await self._connections.stop()

    def _finish_task(
        self,
        task: "asyncio.Task[None]",
        client: client_connections.ClientConnection,
    ) -> None:
        self._tasks.discard(task)
        client.finish_request()
        if not task.cancelled() and task.exception() is not None:
            _LOGGER.error(
                "unhandled exception in a request", error=repr(task.exception())
            )
            client.close("internal_error")
