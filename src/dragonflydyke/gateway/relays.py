"""Relays the answer of an engine, as events or as a whole."""

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

from dragonflydyke import errors
from dragonflydyke.gateway import attempts, events, services

ROUTER_FIELD = "dragonflydyke"

_RETRY_AFTER_S = 1.0
_READ_TO_END_TIMEOUT_S = 0.5
_INVALID_REQUEST_STATUSES = frozenset({400, 413, 422})
# An engine refuses with these before it runs anything.
_REJECTION_STATUSES = frozenset({404, 409, 429})

SendFunction = Callable[[bytes], Awaitable[None]]


# The rating service judges the beginning of very long answers.
_MAX_SAMPLE_BYTES = 1_000_000


class EventRelay:
    """Relays events as they come and holds back the end of the stream.

    The last event of the answer, the usage and the end marker are released
    by the caller of `take_end`, after the bill was recorded.
    """

    __slots__ = (
        "_attempt",
        "_include_usage",
        "_is_sampled",
        "_send",
        "_usage_event",
        "_withheld_event",
        "sample",
        "unsent_events",
        "usage",
    )

    def __init__(
        self,
        attempt: attempts.BackendAttempt,
        include_usage: bool,
        send: SendFunction | None,
    ) -> None:
        """Creates a relay.

        Args:
            attempt: Attempt whose answer is open.
            include_usage: Whether the caller asked for the usage.
            send: Sends data to the caller; None collects it in `answer`.
        """
        self._attempt = attempt
        self._include_usage = include_usage
        self._is_sampled = attempt.is_sampled
        self._send = send
        self._withheld_event: events.FinalEvent | None = None
        self._usage_event: events.FinalEvent | None = None
        self.unsent_events = bytearray()
        self.sample = bytearray()
        self.usage: services.Usage | None = None

    async def run(self) -> None:
        """Relays everything but the end; resumes a stream that breaks.

        Raises:
            DragonflydykeError: If the stream breaks or ends without marker.
            CallerGoneError: If the caller has gone.
        """
        splitter = events.DataSplitter()
        while True:
            try:
                done = await self._relay_connection(splitter)
                break
            except errors.DragonflydykeError as error:
                splitter.discard_incomplete_event()
                await self._attempt.resume(splitter.count, error)
        if done:
            return
        raise self._attempt.build_error(
            "answer_incomplete",
            "The engine ended the stream without its end marker; discard "
            "what was received and send the request again.",
            retry_after_s=_RETRY_AFTER_S,
        )

    def build_stream_end(self, router_field: dict[str, Any]) -> bytes:
        """Returns the end of the stream with the extra field."""
        values = []
        if self._withheld_event is not None:
            values.append(dict(self._withheld_event.value))
        if self._include_usage and self._usage_event is not None:
            values.append(dict(self._usage_event.value))
        if not values:
            values.append({"object": "chat.completion.chunk", "choices": []})
        values[-1][ROUTER_FIELD] = router_field
        end = b"".join(events.encode_value(value) for value in values)
        return end + events.END_MARKER_EVENT

    async def _relay_connection(self, splitter: events.DataSplitter) -> bool:
        """Relays one connection; returns whether the end marker came."""
        chunks = self._attempt.chunks()
        async for chunk in chunks:
            done = self._relay_events(splitter.feed(chunk))
            await self._send_pending()
            if done:
                await self._read_to_end(chunks)
                return True
        return False

    def _relay_events(self, data_of_events: list[bytes]) -> bool:
        for data in data_of_events:
            if events.is_end_marker(data):
                return True
            self._relay_event(data)
        return False

    async def _read_to_end(self, chunks: AsyncIterator[bytes]) -> None:
        """Reads to the end, so that closing does not cancel the stream."""
        try:
            async with asyncio.timeout(_READ_TO_END_TIMEOUT_S):
                async for _ in chunks:
                    pass
        except (TimeoutError, errors.DragonflydykeError):
            return

    def _relay_event(self, data: bytes) -> None:
        message = events.find_error(data)
        if message is not None:
            raise self._attempt.build_error(
                "backend_failed",
                f"The engine reported an error: {message}",
                retry_after_s=_RETRY_AFTER_S,
            )
        last = events.parse_final_event(data)
        if last is None:
            self._emit_withheld_event()
            self._emit(events.encode_event(data))
            return
        self._withhold_event(last)

    def _withhold_event(self, last: events.FinalEvent) -> None:
        self.usage = last.usage or self.usage
        if last.has_only_usage:
            self._usage_event = last
            return
        self._emit_withheld_event()
        if not self._include_usage:
            last.value.pop("usage", None)
        self._withheld_event = last

    def _emit_withheld_event(self) -> None:
        if self._withheld_event is not None:
            held, self._withheld_event = self._withheld_event, None
            self._emit(events.encode_value(held.value))

    def _emit(self, event: bytes) -> None:
        self._attempt.produced_events += 1
        self.unsent_events += event
        if self._is_sampled and len(self.sample) < _MAX_SAMPLE_BYTES:
            self.sample += event

    async def _send_pending(self) -> None:
        """Sends the events of one chunk together, which saves writes."""
        if self._send is not None:
            if self.unsent_events:
                data = bytes(self.unsent_events)
                self.unsent_events.clear()
                await self._send(data)
            return
        if len(self.unsent_events) > attempts.MAX_RESPONSE_BYTES:
            raise self._attempt.build_error(
                "answer_too_long",
                "The answer is too long to be checked; ask for a shorter one.",
            )


def parse_completion(
    attempt: attempts.BackendAttempt, body: bytes
) -> dict[str, Any]:
    """Returns the whole answer of an engine as a JSON object.

    Raises:
        DragonflydykeError: `answer_invalid` if it is none.
    """
    try:
        value = json.loads(body)
    except ValueError:
        value = None
    if not isinstance(value, dict):
        raise attempt.build_error(
            "answer_invalid",
            "The engine's answer is not a JSON object; check the engine.",
            retry_after_s=_RETRY_AFTER_S,
        )
    return value


async def check_status(
    attempt: attempts.BackendAttempt, response: services.BackendAnswer
) -> None:
    """Raises an error if an engine answers with another status than 200."""
    if response.status == 200:
        return
    body = await attempt.read_body(attempts.MAX_ERROR_BYTES)
    text = body[:500].decode("utf-8", "replace")
    if response.status in _INVALID_REQUEST_STATUSES:
        raise attempt.build_error(
            "backend_rejected",
            f"The engine refused the request, correct it: {text}",
            status=400,
            execution=errors.Execution.NOT_RUN,
        )
    is_rejection = response.status in _REJECTION_STATUSES
    raise attempt.build_error(
        "backend_refused" if is_rejection else "backend_failed",
        f"The engine answered with status {response.status}, retry later: {text}",
        status=503 if is_rejection else 502,
        execution=(
            errors.Execution.NOT_RUN
            if is_rejection
            else errors.Execution.UNKNOWN
        ),
        retry_after_s=_RETRY_AFTER_S,
    )
