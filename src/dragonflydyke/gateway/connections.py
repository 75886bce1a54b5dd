"""Connections of callers that have not sent their first request yet."""

import asyncio
from collections.abc import Awaitable

from tornado import httputil

from dragonflydyke import logs

# A caller sends its first request right after it connected; one that only
# keeps a connection ready delays a planned stop by no more than this.
FIRST_REQUEST_TIMEOUT_S = 0.5

_LOGGER = logs.get_logger("gateway")


class NewConnectionTracker(httputil.HTTPServerConnectionDelegate):
    """Hands requests to an application and notes unused connections.

    A planned stop waits for the first request of connections that were
    accepted just before the listener closed. Otherwise these callers would be
    refused although no balancer could have sent them elsewhere.
    """

    __slots__ = ("_all_used", "_application", "_open", "_unused")

    def __init__(
        self, application: httputil.HTTPServerConnectionDelegate
    ) -> None:
        """Creates a watch in front of an application."""
        self._application = application
        self._open: set[object] = set()
        self._unused: set[object] = set()
        self._all_used = asyncio.Event()
        self._all_used.set()

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Returns the reader of the next request of a connection."""
        reader = self._application.start_request(server_conn, request_conn)
        if server_conn in self._open:
            return reader
        self._open.add(server_conn)
        self._unused.add(server_conn)
        self._all_used.clear()
        return _FirstRequestReader(self, server_conn, reader)

    def on_close(self, server_conn: object) -> None:
        """Is called by the library when a connection is closed."""
        self._open.discard(server_conn)
        self.record_use(server_conn)
        self._application.on_close(server_conn)

    def record_use(self, server_conn: object) -> None:
        """Notes that a connection carries a request, or is closed."""
        self._unused.discard(server_conn)
        if not self._unused:
            self._all_used.set()

    async def wait_for_first_requests(self) -> None:
        """Waits up to FIRST_REQUEST_S for the requests of new connections."""
        try:
            async with asyncio.timeout(FIRST_REQUEST_TIMEOUT_S):
                await self._all_used.wait()
        except TimeoutError:
            _LOGGER.info(
                "connections stay without a request", count=len(self._unused)
            )


class _FirstRequestReader(httputil.HTTPMessageDelegate):
    """Passes a request on and reports that it began."""

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
        """Passes the headers on; the request counts as in progress then."""
        try:
            return self._reader.headers_received(start_line, headers)
        finally:
            self._tracker.record_use(self._connection)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Passes a part of the body on."""
        return self._reader.data_received(chunk)

    def finish(self) -> None:
        """Passes the end of the request on."""
        self._reader.finish()

    def on_connection_close(self) -> None:
        """Passes on that the caller left in the middle of the request."""
        self._reader.on_connection_close()
