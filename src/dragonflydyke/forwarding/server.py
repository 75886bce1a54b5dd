"""HTTP server for the clients of forwarded requests."""

import asyncio
import contextlib
import http
from collections.abc import Callable, Sequence

from tornado import http1connection, httpserver, httputil, iostream, netutil

from dragonflydyke import logs, settings
from dragonflydyke.forwarding import contexts, execution, messages

_HEADER_LENGTH = "Content-Length"
_HEADER_CONNECTION = "Connection"
# Larger bodies exceed the limit of the configuration in any case.
_MAX_BODY_BYTES = 64_000_000
_MAX_HEADER_BYTES = 65_536
# Clients reuse connections that were idle for less than the limit of the
# configuration. The longer timeout here never closes a connection that a client
# is about to reuse.
_IDLE_TIMEOUT_S = 60.0
_BAD_REQUEST = 400
# Responses to interrupted requests need no answer of any other process.
_ABORT_TIMEOUT_S = 0.2

_LOGGER = logs.get_logger("server")


class ConnectionResponseWriter:
    """Writes the response to one request on its connection."""

    __slots__ = ("_callback", "_connection", "_is_draining", "is_closed")

    def __init__(
        self,
        connection: http1connection.HTTP1Connection,
        is_draining: Callable[[], bool],
    ) -> None:
        self._connection = connection
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
        return self._flush()

    def start(self, status: int, headers: httputil.HTTPHeaders) -> None:
        """Sends status and headers of a response of unknown length."""
        headers.pop(_HEADER_LENGTH, None)
        self._write_start(status, headers)

    async def write(self, chunk: bytes) -> None:
        """Sends a part of the body and waits until the client accepts it.

        Raises:
            ClientDisconnectedError: If the client closed its connection.
        """
        try:
            await self._connection.write(chunk)
        except iostream.StreamClosedError:
            raise contexts.ClientDisconnectedError from None

    def finish(self) -> None:
        """Completes the response."""
        if not self.is_closed:
            self._connection.finish()

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
    """Collects one request and passes it to the server when complete."""

    __slots__ = (
        "_body",
        "_connection",
        "_headers",
        "_owner",
        "_server",
        "_start",
    )

    def __init__(
        self,
        server: "ForwardingServer",
        owner: object,
        connection: http1connection.HTTP1Connection,
    ) -> None:
        self._server = server
        self._owner = owner
        self._connection = connection
        self._body: list[bytes] = []

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Records the start line and headers of the request."""
        self._server.record_request_start(self._owner)
        self._start = start_line
        self._headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Stores a part of the body."""
        self._body.append(chunk)

    def finish(self) -> None:
        """Starts forwarding the complete request."""
        self._server.start_forwarding(
            self._connection,
            self._start,
            self._headers,
            b"".join(self._body),
        )

    def on_connection_close(self) -> None:
        """Discards a request that was not received completely."""


class ForwardingServer(httputil.HTTPServerConnectionDelegate):
    """Reads requests of clients and passes them to the forwarder.

    Attributes:
        is_draining: Whether responses ask clients to close their connections.
    """

    __slots__ = (
        "_codec",
        "_forwarder",
        "_idle",
        "_server",
        "_tasks",
        "is_draining",
    )

    def __init__(
        self, forwarder: execution.Forwarder, codec: messages.HeaderCodec
    ) -> None:
        self._forwarder = forwarder
        self._codec = codec
        self._tasks: set[asyncio.Task[None]] = set()
        self._idle: dict[object, httputil.HTTPConnection] = {}
        self.is_draining = False
        self._server = httpserver.HTTPServer(
            self,
            idle_connection_timeout=_IDLE_TIMEOUT_S,
            max_header_size=_MAX_HEADER_BYTES,
            max_body_size=_MAX_BODY_BYTES,
        )

    @property
    def active(self) -> int:
        """Number of requests whose responses are not written completely."""
        return len(self._tasks)

    def listen(self, address: settings.Address) -> int:
        """Starts accepting connections and returns the bound port."""
        sockets = netutil.bind_sockets(address.port, address.host)
        self._server.add_sockets(sockets)
        return sockets[0].getsockname()[1]

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Returns the reader of the next request on a connection."""
        self._idle[server_conn] = request_conn
        assert isinstance(request_conn, http1connection.HTTP1Connection)
        return _RequestReader(self, server_conn, request_conn)

    def record_request_start(self, server_conn: object) -> None:
        """Records that a request has started on a connection."""
        self._idle.pop(server_conn, None)

    def on_close(self, server_conn: object) -> None:
        """Removes a closed connection; called by Tornado."""
        self._idle.pop(server_conn, None)

    def start_forwarding(
        self,
        connection: http1connection.HTTP1Connection,
        start_line: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
        body: bytes,
    ) -> None:
        """Starts forwarding a complete request."""
        writer = ConnectionResponseWriter(connection, lambda: self.is_draining)
        try:
            details = self._codec.read_request(headers)
        except ValueError as error:
            _LOGGER.info("request headers cannot be parsed", error=str(error))
            rejection = self._codec.write_rejection("", None)
            body = f"{error}\n".encode()
            writer.send_response(_BAD_REQUEST, rejection, (body,))
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
        task.add_done_callback(self._finish_task)

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
        for connection in list(self._idle.values()):
            connection.close()
        self._idle.clear()

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
        self._server.stop()
        await self._server.close_all_connections()

    def _finish_task(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOGGER.error(
                "unhandled exception in a request", error=repr(task.exception())
            )
