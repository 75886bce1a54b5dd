"""Writes the response of a request to the client."""

import asyncio
import math
from collections.abc import Mapping

import tornado.iostream
import tornado.web

from dragonflydyke import errors, metrics
from dragonflydyke.gateway import events, responses, tracking

# A client that accepts no byte for this long is disconnected, because its
# response occupies memory and a slot at the engine.
SLOW_CALLER_TIMEOUT_S = 10.0
# Timeout for the last part of a response, which may be a whole, long body.
FINISH_TIMEOUT_S = 60.0
# Minimum time for sending a part, so that one received from the engine just
# before the deadline is still sent.
_MIN_SEND_S = 1.0


class ClientDisconnectedError(Exception):
    """The client disconnected, or was disconnected for being too slow."""


class ResponseWriter:
    """Sends one response, either whole or as a stream of events.

    Attributes:
        request_id: Request id, sent in the response headers.
        deadline: Loop time at which sending parts of a stream times out.
    """

    __slots__ = (
        "_counters",
        "_handler",
        "_is_finished",
        "_started",
        "_tracker",
        "deadline",
        "request_id",
    )

    def __init__(
        self,
        handler: tornado.web.RequestHandler,
        request_id: str,
        counters: metrics.Counters,
        tracker: tracking.RequestTracker,
    ) -> None:
        self._tracker = tracker
        self._handler = handler
        self._counters = counters
        self._started = False
        self._is_finished = False
        self.request_id = request_id
        self.deadline = math.inf

    @property
    def started(self) -> bool:
        """Whether a byte of the response may have reached the client."""
        return self._started

    def start_stream(self, headers: Mapping[str, str]) -> None:
        """Starts a stream of events with status 200.

        Raises:
            InvariantError: If a response was already started.
        """
        errors.check_invariant(
            not self._started, f"{self.request_id} got a second response"
        )
        self._started = True
        self._set_headers(headers)
        self._handler.set_header("Content-Type", responses.EVENT_STREAM_TYPE)
        self._handler.set_header("Cache-Control", "no-cache")
        stream = getattr(self._handler.request.connection, "stream", None)
        if stream is not None:
            # Nagle's algorithm would delay an event until the previous one is
            # acknowledged, which takes 40 ms on a keep-alive connection.
            stream.set_nodelay(True)

    async def send(self, data: bytes) -> None:
        """Sends a part of a stream and waits until the socket accepts it.

        Raises:
            ClientDisconnectedError: If the client disconnected, or was
                disconnected because it did not read in time.
        """
        self._check_stream_open()
        self._handler.write(data)
        try:
            async with asyncio.timeout_at(self._compute_send_deadline()):
                await self._handler.flush()
        except TimeoutError:
            self._disconnect_slow_client()
            raise ClientDisconnectedError from None
        except tornado.iostream.StreamClosedError:
            raise ClientDisconnectedError from None

    def finish_stream(self, data: bytes) -> None:
        """Sends the last part of a stream without waiting for the client."""
        self._check_stream_open()
        self._is_finished = True
        self._write_last_part(data)

    def finish(
        self,
        status: int,
        content_type: str,
        headers: Mapping[str, str],
        body: bytes,
    ) -> None:
        """Sends a whole response without waiting for the client.

        Raises:
            InvariantError: If a response was already started.
        """
        errors.check_invariant(
            not self._started, f"{self.request_id} got a second response"
        )
        self._started = True
        self._is_finished = True
        self._handler.set_status(status)
        self._set_headers(headers)
        self._handler.set_header("Content-Type", content_type)
        self._write_last_part(body)

    def fail(self, error: errors.DragonflydykeError) -> None:
        """Reports an error to the client.

        It is sent as the last event if a stream was started, and is dropped if
        the response is already finished.
        """
        if self._is_finished:
            return
        self._counters.increment(f"refusal.{error.code}")
        if self._started:
            value = responses.build_error(error, self.request_id)
            self.finish_stream(events.encode_value(value))
            return
        headers = {}
        if error.retry_after_s is not None:
            headers["Retry-After"] = responses.format_retry_after(
                error.retry_after_s
            )
        body = responses.encode_error(error, self.request_id)
        self.finish(error.status, responses.JSON_TYPE, headers, body)

    def _set_headers(self, headers: Mapping[str, str]) -> None:
        self._handler.set_header(responses.REQUEST_ID_HEADER, self.request_id)
        if self._tracker.state is not tracking.AcceptanceState.ACCEPTING:
            # A client would send further requests on a keep-alive connection
            # until the router exits.
            self._handler.set_header("Connection", "close")
        for name, value in headers.items():
            self._handler.set_header(name, value)

    def _compute_send_deadline(self) -> float:
        now_s = asyncio.get_running_loop().time()
        response_deadline_s = max(self.deadline, now_s + _MIN_SEND_S)
        return min(now_s + SLOW_CALLER_TIMEOUT_S, response_deadline_s)

    def _check_stream_open(self) -> None:
        errors.check_invariant(
            self._started and not self._is_finished,
            f"{self.request_id} sends data outside an open stream",
        )

    def _write_last_part(self, data: bytes) -> None:
        # Keeps a graceful shutdown waiting until the last byte is sent.
        release = self._tracker.start_request()
        # Errors are ignored: the client may already have disconnected.
        future = self._handler.finish(data)
        future.add_done_callback(lambda _: release())
        future.add_done_callback(_retrieve_exception)
        timer = asyncio.get_running_loop().call_later(
            FINISH_TIMEOUT_S, self._disconnect_slow_client
        )
        future.add_done_callback(lambda _: timer.cancel())

    def _disconnect_slow_client(self) -> None:
        self._counters.increment("caller.too_slow")
        self._is_finished = True
        connection = self._handler.request.connection
        stream = getattr(connection, "stream", None)
        if stream is not None:
            stream.close()


def _retrieve_exception(future: "asyncio.Future[None]") -> None:
    if not future.cancelled():
        future.exception()
