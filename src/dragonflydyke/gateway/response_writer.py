"""The connection to a caller."""

import asyncio
import math
from collections.abc import Mapping

import tornado.iostream
import tornado.web

from dragonflydyke import errors, metrics
from dragonflydyke.gateway import events, responses, tracking

# A caller that takes no byte for this long is cut, because its answer holds
# memory and a slot at the engine.
SLOW_CALLER_TIMEOUT_S = 10.0
# Time for the last part of a response, which may be a whole, long body.
FINISH_TIMEOUT_S = 60.0
# A part that was read just before the deadline can still be sent.
_MIN_SEND_S = 1.0


class ClientDisconnectedError(Exception):
    """The caller disconnected or was cut because it is too slow."""


class ResponseWriter:
    """Sends one response, whole or as a stream of events.

    Attributes:
        request_id: Request id, sent in the response headers.
        deadline: Loop time until which the caller may take parts of a
            stream.
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
        """Whether a byte of a response may have reached the caller."""
        return self._started

    def start_stream(self, headers: Mapping[str, str]) -> None:
        """Starts a stream of events with status 200."""
        errors.check_invariant(
            not self._started, f"{self.request_id} was answered twice"
        )
        self._started = True
        self._set_headers(headers)
        self._handler.set_header("Content-Type", responses.EVENT_STREAM_TYPE)
        self._handler.set_header("Cache-Control", "no-cache")
        stream = getattr(self._handler.request.connection, "stream", None)
        if stream is not None:
            # Otherwise an event waits until the one before is acknowledged,
            # 40 ms on a kept connection.
            stream.set_nodelay(True)

    async def send(self, data: bytes) -> None:
        """Sends a part of a stream and waits until the caller takes it.

        Raises:
            CallerGoneError: If the caller has gone or takes nothing.
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
        """Sends the last part of a stream."""
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
        """Sends a whole response."""
        errors.check_invariant(
            not self._started, f"{self.request_id} was answered twice"
        )
        self._started = True
        self._is_finished = True
        self._handler.set_status(status)
        self._set_headers(headers)
        self._handler.set_header("Content-Type", content_type)
        self._write_last_part(body)

    def fail(self, error: errors.DragonflydykeError) -> None:
        """Reports an error, as the last event of a stream that started."""
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
            # A kept connection would bring new requests until the exit.
            self._handler.set_header("Connection", "close")
        for name, value in headers.items():
            self._handler.set_header(name, value)

    def _compute_send_deadline(self) -> float:
        now_s = asyncio.get_running_loop().time()
        last_s = max(self.deadline, now_s + _MIN_SEND_S)
        return min(now_s + SLOW_CALLER_TIMEOUT_S, last_s)

    def _check_stream_open(self) -> None:
        errors.check_invariant(
            self._started and not self._is_finished,
            f"{self.request_id} sends outside its stream",
        )

    def _write_last_part(self, data: bytes) -> None:
        # A stop must not close the connection before the last byte is sent.
        release = self._tracker.start_request()
        # The caller may have gone; nothing is left to do for it then.
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
