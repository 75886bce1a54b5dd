"""Relaying of streamed responses, and parsing of whole ones, from engines."""

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
# Engines send these before they execute any part of the request.
_REJECTION_STATUSES = frozenset({404, 409, 429})

SendFunction = Callable[[bytes], Awaitable[None]]


# Of longer responses only this much is rated by the rating service.
_MAX_SAMPLE_BYTES = 1_000_000


class EventRelay:
    """Relays events as they arrive, except for the end of the stream.

    The event with the finish reason, the usage and the end marker are withheld.
    They are sent with the result of `build_stream_end` once the bill is
    recorded, so that no client sees the end of a request that is not billed.

    Attributes:
        unsent_events: Encoded events that were not sent yet; all events of the
            response if there is no `send`.
        sample: Encoded events at the start of the response, collected for
            rating; empty if the response is not sampled.
        usage: Tokens that the engine reported, if it did.
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
            attempt: Attempt whose response is open.
            include_usage: Whether the client requested the usage.
            send: Sends encoded events to the client; None collects them in
                `unsent_events`.
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
        """Relays the stream up to its end; resumes it after connection losses.

        Raises:
            DragonflydykeError: If the stream is interrupted and cannot be
                resumed, or ends without its end marker.
            ClientDisconnectedError: If the client disconnected.
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
            "The engine ended the stream without an end marker; discard "
            "the partial response and send the request again.",
            retry_after_s=_RETRY_AFTER_S,
        )

    def build_stream_end(self, router_field: dict[str, Any]) -> bytes:
        """Returns the encoded end of the stream, with the end marker.

        Args:
            router_field: Value of ROUTER_FIELD, added to the last event.
        """
        values = []
        if self._withheld_event is not None:
            values.append(dict(self._withheld_event.value))
        if self._include_usage and self._usage_event is not None:
            values.append(dict(self._usage_event.value))
        if not values:
            values.append({"object": "chat.completion.chunk", "choices": []})
        values[-1][ROUTER_FIELD] = router_field
        encoded = b"".join(events.encode_value(value) for value in values)
        return encoded + events.END_MARKER_EVENT

    async def _relay_connection(self, splitter: events.DataSplitter) -> bool:
        """Relays one connection; returns whether the end marker arrived."""
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
        """Reads the rest, so that closing does not cancel the stream."""
        try:
            async with asyncio.timeout(_READ_TO_END_TIMEOUT_S):
                async for _ in chunks:
                    pass
        except (TimeoutError, errors.DragonflydykeError):
            return

    def _relay_event(self, data: bytes) -> None:
        if not data.lstrip().startswith(b"{"):
            # For example the text of an error where a stream is resumed.
            raise self._attempt.build_error(
                "answer_invalid",
                "The engine sent an event that is not a JSON object; check the "
                "engine.",
                retry_after_s=_RETRY_AFTER_S,
            )
        message = events.find_error(data)
        if message is not None:
            raise self._attempt.build_error(
                "backend_failed",
                f"The engine reported an error: {message}",
                retry_after_s=_RETRY_AFTER_S,
            )
        final_event = events.parse_final_event(data)
        if final_event is None:
            self._append_withheld_event()
            self._append_event(events.encode_event(data))
            return
        self._withhold_event(final_event)

    def _withhold_event(self, event: events.FinalEvent) -> None:
        self.usage = event.usage or self.usage
        if event.has_only_usage:
            self._usage_event = event
            return
        self._append_withheld_event()
        if not self._include_usage:
            event.value.pop("usage", None)
        self._withheld_event = event

    def _append_withheld_event(self) -> None:
        if self._withheld_event is not None:
            event, self._withheld_event = self._withheld_event, None
            self._append_event(events.encode_value(event.value))

    def _append_event(self, event: bytes) -> None:
        self._attempt.produced_events += 1
        self.unsent_events += event
        if self._is_sampled and len(self.sample) < _MAX_SAMPLE_BYTES:
            self.sample += event

    async def _send_pending(self) -> None:
        """Sends all events of one chunk in a single write.

        Raises:
            DragonflydykeError: `answer_too_long` if the response is collected
                and exceeds MAX_RESPONSE_BYTES.
        """
        if self._send is not None:
            if self.unsent_events:
                data = bytes(self.unsent_events)
                self.unsent_events.clear()
                await self._send(data)
            return
        if len(self.unsent_events) > attempts.MAX_RESPONSE_BYTES:
            raise self._attempt.build_error(
                "answer_too_long",
                "The response is too long for the quality check; request a "
                "shorter one.",
            )


def parse_completion(
    attempt: attempts.BackendAttempt, body: bytes
) -> dict[str, Any]:
    """Parses the body of a whole response of an engine.

    Raises:
        DragonflydykeError: `answer_invalid` if it is not a JSON object.
    """
    try:
        value = json.loads(body)
    except ValueError:
        value = None
    if not isinstance(value, dict):
        raise attempt.build_error(
            "answer_invalid",
            "The response of the engine is not a JSON object; check the "
            "engine.",
            retry_after_s=_RETRY_AFTER_S,
        )
    return value


async def check_status(
    attempt: attempts.BackendAttempt, response: services.BackendAnswer
) -> None:
    """Checks that an engine responded with status 200.

    Raises:
        DragonflydykeError: `backend_rejected` (not run) if the request is
            invalid, `backend_refused` (not run) if the engine did not accept
            it, `backend_failed` (unknown) for any other status.
    """
    if response.status == 200:
        return
    body = await attempt.read_body(attempts.MAX_ERROR_BYTES)
    text = body[:500].decode("utf-8", "replace")
    if response.status in _INVALID_REQUEST_STATUSES:
        raise attempt.build_error(
            "backend_rejected",
            f"The engine rejected the request as invalid; correct it: {text}",
            status=400,
            execution=errors.Execution.NOT_RUN,
        )
    is_rejection = response.status in _REJECTION_STATUSES
    raise attempt.build_error(
        "backend_refused" if is_rejection else "backend_failed",
        f"The engine responded with status {response.status}; "
        f"retry later: {text}",
        status=503 if is_rejection else 502,
        execution=(
            errors.Execution.NOT_RUN
            if is_rejection
            else errors.Execution.UNKNOWN
        ),
        retry_after_s=_RETRY_AFTER_S,
    )
