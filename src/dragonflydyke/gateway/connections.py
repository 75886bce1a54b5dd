"""Client connections that have not sent their first request yet."""

import asyncio
from collections.abc import Awaitable

from tornado import httputil

from dragonflydyke import logs

# Clients send their first request right after connecting. A client that opens a
# connection in advance delays a graceful shutdown by at most this time.
FIRST_REQUEST_TIMEOUT_S = 0.5

_LOGGER = logs.get_logger("gateway")


class NewConnectionTracker(httputil.HTTPServerConnectionDelegate):
    """Delegates requests to an application and tracks unused connections.

    A graceful shutdown waits for the first request on connections that were
    accepted just before the listener closed. Otherwise these requests would be
    rejected although no load balancer could have sent them elsewhere.
    """

    __slots__ = ("_all_used", "_application", "_open", "_unused")

    def __init__(
        self, application: httputil.HTTPServerConnectionDelegate
    ) -> None:
        """Creates a tracker in front of an application."""
        self._application = application
        self._open: set[object] = set()
        self._unused: set[object] = set()
        self._all_used = asyncio.Event()
        self._all_used.set()

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Returns the delegate for the next request of a connection."""
        reader = self._application.start_request(server_conn, request_conn)
        if server_conn in self._open:
            return reader
        self._open.add(server_conn)
        self._unused.add(server_conn)
        self._all_used.clear()
        return _FirstRequestReader(self, server_conn, reader)

    def on_close(self, server_conn: object) -> None:
        """Removes a connection; Tornado calls it when one is closed."""
        self._open.discard(server_conn)
        self.record_use(server_conn)
        self._application.on_close(server_conn)

    def record_use(self, server_conn: object) -> None:
        """Records that a connection got its first request, or was closed."""
        self._unused.discard(server_conn)
        if not self._unused:
            self._all_used.set()

    async def wait_for_first_requests(self) -> None:
        """Waits for the first requests, up to FIRST_REQUEST_TIMEOUT_S."""
        try:
            async with asyncio.timeout(FIRST_REQUEST_TIMEOUT_S):
                await self._all_used.wait()
        except TimeoutError:
            _LOGGER.info(
                "connections without a request at shutdown",
                count=len(self._unused),
            )


class _FirstRequestReader(httputil.HTTPMessageDelegate):
    """Delegates a request and records its start with the tracker."""

    __slots__ = ("_connection", "_reader", "_tracker")

    def __init__(
        self,
        tracker: NewConnectionTracker,
        connection: object,
        reader: httputil.HTTPMessageDelegate,
    ) -> None:
        self._tracker = tracker
        self._connection = connection
        self._reader = reader

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Delegates the headers, with which the request is in progress."""
        try:
            return self._reader.headers_received(start_line, headers)
        finally:
            self._tracker.record_use(self._connection)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Delegates a part of the body."""
        return self._reader.data_received(chunk)

    def finish(self) -> None:
        """Delegates the end of the request."""
        self._reader.finish()

    def on_connection_close(self) -> None:
        """Delegates that the client disconnected during the request."""
        self._reader.on_connection_close()
