"""One HTTP exchange on a new connection."""

import asyncio
import contextlib
import datetime
import functools
import re
import socket
import ssl
from collections.abc import AsyncIterator
from typing import Any, Protocol
from urllib import parse

from tornado import http1connection, httputil, iostream

from dragonflydyke import errors
from dragonflydyke.backends import failures, model, relayed

_CHUNK_BYTES = 65_536
# Kernels would accept megabytes of a request that its server does not receive.
_MAX_UNSENT_BYTES = 65_536
_MAX_HEADER_BYTES = 65_536
# At most one chunk is buffered, so this limit does not affect memory. The
# default limit of Tornado, 100 MB, would end long streams.
_MAX_BODY_BYTES = 1 << 40
_HTTPS_PORT = 443
_HTTP_PORT = 80
_MIN_STATUS = 100
_MIN_FINAL_STATUS = 200
_MAX_STATUS = 599
_STATUSES_WITHOUT_BODY = (204, 304)
_PATH_PATTERN = re.compile(r"/[!-~]*")


@functools.cache
def _build_tls_context() -> ssl.SSLContext:
    # Loading the system's CA certificates takes milliseconds, hence the cache.
    return ssl.create_default_context()


class Connector(Protocol):
    """Opens connections, as `tornado.tcpclient.TCPClient` does."""

    async def connect(
        self, host: str, port: int, **options: Any
    ) -> iostream.IOStream:
        """Opens a connection; raises OSError or StreamClosedError."""


class _ResponseReader(httputil.HTTPMessageDelegate):
    """Receives the response on a connection and queues it for its consumer.

    The queue holds one chunk. While it is full, nothing is read from the
    socket, which exerts backpressure on the server.
    """

    def __init__(
        self,
        stream: iostream.IOStream,
        request: model.BackendRequest,
        sent: asyncio.Future[None],
    ) -> None:
        """Creates a reader of the response to a request.

        Args:
            stream: Connection on which the response arrives.
            request: The request.
            sent: Has a result as soon as the whole request was written, and an
                error if the connection ended before that.
        """
        loop = asyncio.get_running_loop()
        self._stream = stream
        self._method = request.method
        self._accepts_unframed = request.accepts_unframed and not isinstance(
            stream, relayed.RelayedStream
        )
        self._peer = request.server.name
        self._sent = sent
        self._is_closed = False
        self.is_framed = True
        self.complete = False
        self.response_start: asyncio.Future[
            tuple[httputil.ResponseStartLine, httputil.HTTPHeaders]
        ] = loop.create_future()
        self.chunks: asyncio.Queue[bytes | None] = asyncio.Queue(maxsize=1)

    @property
    def has_response_start(self) -> bool:
        """Whether the start of a response arrived, valid or not."""
        if not self.response_start.done():
            return False
        error = self.response_start.exception()
        return (
            not isinstance(error, errors.DragonflydykeError)
            or error.code != failures.CONNECTION_LOST
        )

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Stores the status and headers of a final (not 1xx) response."""
        assert isinstance(start_line, httputil.ResponseStartLine)
        if self.response_start.done():
            return
        if not _MIN_STATUS <= start_line.code <= _MAX_STATUS:
            self._reject_response(f"the status is {start_line.code}")
            return
        if start_line.code < _MIN_FINAL_STATUS:
            return
        is_framed = self._is_response_framed(start_line.code, headers)
        if not is_framed and not self._accepts_unframed:
            # The end of such a body is indistinguishable from a lost
            # connection.
            self._reject_response(
                "the response has neither a length nor chunked encoding"
            )
            return
        self.is_framed = is_framed
        self.response_start.set_result((start_line, headers))

    def _reject_response(self, reason: str) -> None:
        self._fail_response_start(
            failures.build_invalid_response_error(
                self._peer, errors.Step.AWAIT_ANSWER, reason
            )
        )
        self._stream.close()

    def data_received(self, chunk: bytes) -> asyncio.Future[None] | None:
        """Queues a chunk; the result is awaited while the queue is full."""
        if self._is_closed:
            return None
        if not self.chunks.full():
            self.chunks.put_nowait(chunk)
            return None
        return asyncio.ensure_future(self._queue(chunk))

    async def _queue(self, chunk: bytes) -> None:
        await self.chunks.put(chunk)
        if self._is_closed:
            self._discard_chunks()

    def finish(self) -> None:
        """Records whether the response is complete."""
        # Tornado also calls this when a connection whose response has no
        # length was reset.
        self.complete = self.is_framed or (
            self._stream.error is None and self._was_request_sent()
        )

    def _was_request_sent(self) -> bool:
        """Returns whether the connection did not end during the request.

        A server that ends it then has broken off: it closes its side first,
        and the reset that follows is seen too late, or never.
        """
        return self._sent.done() and self._sent.exception() is None

    async def run(self, connection: http1connection.HTTP1Connection) -> None:
        """Reads the response until it ends, the connection is lost or closed.

        Errors are passed to the consumer through `response_start` and `chunks`.
        """
        cause: object = "closed by the backend server"
        try:
            await connection.read_response(self)
        except (iostream.StreamClosedError, OSError) as error:
            cause = error.__cause__ or getattr(error, "real_error", None)
            cause = cause or "closed by the backend server"
        except (ValueError, httputil.HTTPInputError) as error:
            cause = error
        self._fail_response_start(
            failures.build_connection_lost_error(
                self._peer, errors.Step.AWAIT_ANSWER, cause
            )
        )
        if not self._is_closed:
            await self.chunks.put(None)

    def close(self) -> None:
        """Discards the chunks that were not consumed."""
        self._is_closed = True
        self._discard_chunks()

    def _discard_chunks(self) -> None:
        while not self.chunks.empty():
            self.chunks.get_nowait()

    def _fail_response_start(self, error: errors.DragonflydykeError) -> None:
        if not self.response_start.done():
            self.response_start.set_exception(error)
            # Marks the exception as retrieved, in case nothing awaits it.
            self.response_start.exception()

    def _is_response_framed(
        self, status: int, headers: httputil.HTTPHeaders
    ) -> bool:
        return (
            "Content-Length" in headers
            or "Transfer-Encoding" in headers
            or self._method == "HEAD"
            or status in _STATUSES_WITHOUT_BODY
        )


def _limit_unsent_bytes(stream: iostream.IOStream) -> None:
    # Systems may have limits of their own. The connection works with any.
    with contextlib.suppress(OSError):
        stream.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, _MAX_UNSENT_BYTES
        )


def _track_writes(stream: iostream.IOStream) -> asyncio.Future[None]:
    """Returns a future with a result once all that was written is sent."""
    try:
        # The futures of the HTTP connection have a result in either case.
        sent = stream.write(b"")
    except iostream.StreamClosedError as error:
        sent = asyncio.get_running_loop().create_future()
        sent.set_exception(error)
    # Marks an exception as retrieved, in case nothing asks for it.
    sent.add_done_callback(_retrieve_exception)
    return sent


def _retrieve_exception(future: asyncio.Future[None]) -> None:
    if not future.cancelled():
        future.exception()


class Exchange:
    """A request and its response on a dedicated connection.

    Attributes:
        status: HTTP status, 0 until the response started.
        headers: Headers of the response.
        sent: Whether any byte of the request may have reached the server.
    """

    __slots__ = (
        "_connect_timeout_s",
        "_connection",
        "_deadline",
        "_peer",
        "_reader",
        "_reader_task",
        "_request",
        "_stream",
        "headers",
        "sent",
        "status",
    )

    def __init__(
        self,
        request: model.BackendRequest,
        deadline: float,
        *,
        connect_timeout_s: float | None = None,
    ) -> None:
        """Creates an exchange.

        Args:
            request: The request to send.
            deadline: Loop time at which the exchange must be finished.
            connect_timeout_s: Timeout for opening the connection; None applies
                only the deadline.
        """
        self._request = request
        self._deadline = deadline
        self._connect_timeout_s = connect_timeout_s
        self._peer = request.server.name
        self._stream: iostream.IOStream | None = None
        self._connection: http1connection.HTTP1Connection | None = None
        self._reader: _ResponseReader | None = None
        self._reader_task: asyncio.Task[None] | None = None
        self.status = 0
        self.headers = httputil.HTTPHeaders()
        self.sent = False

    @property
    def complete(self) -> bool:
        """Whether the whole response was received."""
        return self._reader is not None and self._reader.complete

    @property
    def is_framed(self) -> bool:
        """Whether a length or chunks, not the connection, end the response."""
        return self._reader is None or self._reader.is_framed

    async def connect(self, client: Connector) -> None:
        """Opens the connection.

        Raises:
            DragonflydykeError: backend_unreachable, or
                backend_deadline_exceeded; the request has not run.
        """
        url = parse.urlsplit(self._request.server.url)
        secure = url.scheme == "https"
        remaining_s = self._deadline - asyncio.get_running_loop().time()
        if remaining_s <= 0:
            raise self._build_deadline_error(
                errors.Step.CONNECT, errors.Execution.NOT_RUN
            )
        if self._connect_timeout_s is not None:
            remaining_s = min(remaining_s, self._connect_timeout_s)
        try:
            self._stream = await client.connect(
                url.hostname or "",
                url.port or (_HTTPS_PORT if secure else _HTTP_PORT),
                ssl_options=_build_tls_context() if secure else None,
                timeout=datetime.timedelta(seconds=remaining_s),
            )
        except TimeoutError as error:
            if remaining_s == self._connect_timeout_s:
                raise failures.build_unreachable_error(
                    self._peer, f"no connection within {remaining_s} s"
                ) from error
            raise self._build_deadline_error(
                errors.Step.CONNECT, errors.Execution.NOT_RUN
            ) from error
        except (iostream.StreamClosedError, OSError) as error:
            cause = getattr(error, "real_error", None) or error
            raise failures.build_unreachable_error(self._peer, cause) from error
        self._stream.set_nodelay(True)
        if len(self._request.body or b"") > _MAX_UNSENT_BYTES:
            _limit_unsent_bytes(self._stream)

    async def send(self) -> None:
        """Writes the request; returns when it is written or a response starts.

        Raises:
            DragonflydykeError: backend_request_invalid (not run);
                backend_deadline_exceeded, not run if the deadline passed
                before the first byte and unknown otherwise;
                backend_connection_lost (unknown).
        """
        assert self._stream is not None
        if asyncio.get_running_loop().time() >= self._deadline:
            raise self._build_deadline_error(
                errors.Step.SEND, errors.Execution.NOT_RUN
            )
        self._connection = http1connection.HTTP1Connection(
            self._stream,
            is_client=True,
            params=http1connection.HTTP1ConnectionParameters(
                no_keep_alive=True,
                chunk_size=_CHUNK_BYTES,
                max_header_size=_MAX_HEADER_BYTES,
                max_body_size=_MAX_BODY_BYTES,
            ),
        )
        written = self._write_request()
        self.sent = True
        self._reader = _ResponseReader(
            self._stream, self._request, _track_writes(self._stream)
        )
        self._reader_task = asyncio.create_task(
            self._reader.run(self._connection)
        )
        try:
            async with asyncio.timeout_at(self._deadline):
                await asyncio.wait(
                    (written, self._reader.response_start),
                    return_when=asyncio.FIRST_COMPLETED,
                )
        except TimeoutError as error:
            raise self._build_deadline_error(
                errors.Step.SEND, errors.Execution.UNKNOWN
            ) from error
        # Tornado completes the write also when the connection is lost.
        if self._stream.closed() and not self._reader.has_response_start:
            raise failures.build_connection_lost_error(
                self._peer, errors.Step.SEND, "closed while sending the request"
            )

    def _write_request(self) -> asyncio.Future[None]:
        assert self._connection is not None
        request = self._request
        url = parse.urlsplit(request.server.url)
        path = url.path.rstrip("/") + request.path
        if not _PATH_PATTERN.fullmatch(path):
            raise failures.build_invalid_request_error(
                self._peer, f"path {path!r} is not percent-encoded"
            )
        headers = httputil.HTTPHeaders(
            {
                "Host": url.netloc,
                **request.headers,
                "Connection": "close",
            }
        )
        if request.body is not None or request.method != "GET":
            headers["Content-Length"] = str(len(request.body or b""))
        start_line = httputil.RequestStartLine(request.method, path, "HTTP/1.1")
        try:
            written = self._connection.write_headers(
                start_line, headers, request.body
            )
            self._connection.finish()
        except ValueError as error:
            raise failures.build_invalid_request_error(
                self._peer, error
            ) from error
        return written

    async def await_response(self) -> None:
        """Waits for the status and headers of the response.

        Raises:
            DragonflydykeError: backend_connection_lost,
                backend_answer_invalid or backend_deadline_exceeded, each with
                execution unknown.
        """
        assert self._reader is not None
        try:
            async with asyncio.timeout_at(self._deadline):
                start_line, self.headers = await asyncio.shield(
                    self._reader.response_start
                )
        except TimeoutError as error:
            raise self._build_deadline_error(
                errors.Step.AWAIT_ANSWER, errors.Execution.UNKNOWN
            ) from error
        self.status = start_line.code

    async def read_chunk(self) -> bytes | None:
        """Returns the next part of the body, None at its end.

        May be cancelled and called again without losing data.

        Raises:
            DragonflydykeError: backend_connection_lost if the response was
                truncated, or backend_deadline_exceeded.
        """
        assert self._reader is not None
        try:
            async with asyncio.timeout_at(self._deadline):
                chunk = await self._reader.chunks.get()
        except TimeoutError as error:
            raise self._build_deadline_error(
                errors.Step.READ_ANSWER, errors.Execution.UNKNOWN
            ) from error
        if chunk is not None:
            return chunk
        # Puts the end marker back, so that a second call also ends.
        self._reader.chunks.put_nowait(None)
        if not self._reader.complete:
            raise failures.build_connection_lost_error(
                self._peer,
                errors.Step.READ_ANSWER,
                "the response was truncated",
            )
        return None

    async def read_chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            DragonflydykeError: As `read_chunk` does.
        """
        while (chunk := await self.read_chunk()) is not None:
            yield chunk

    def close_now(self) -> None:
        """Closes the connection without waiting for the reader task."""
        if self._reader is not None:
            self._reader.close()
        if self._stream is not None:
            self._stream.close()

    async def close(self) -> None:
        """Closes the connection and waits for the reader task."""
        self.close_now()
        if self._reader_task is not None:
            await asyncio.wait((self._reader_task,))

    def _build_deadline_error(
        self, step: errors.Step, execution: errors.Execution
    ) -> errors.DragonflydykeError:
        return failures.build_deadline_error(self._peer, step, execution)
