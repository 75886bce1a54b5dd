"""Relays the answer of an engine, as events or as a whole."""

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

from dragonflydyke import errors
from dragonflydyke.gateway import attempts, events, services

EXTRA_FIELD = "dragonflydyke"

_RETRY_AFTER_S = 1.0
_DRAIN_TIMEOUT_S = 0.5
_MALFORMED_STATUSES = frozenset({400, 413, 422})
# An engine refuses with these before it runs anything.
_REFUSED_STATUSES = frozenset({404, 409, 429})

Send = Callable[[bytes], Awaitable[None]]


# The rating service judges the beginning of very long answers.
_MAX_SAMPLE_BYTES = 1_000_000


class EventRelay:
    """Relays events as they come and holds back the end of the stream.

    The last event of the answer, the usage and the end marker are released
    by the caller of `take_end`, after the bill was recorded.
    """

    __slots__ = (
        "_attempt",
        "_held",
        "_include_usage",
        "_is_sampled",
        "_send",
        "_usage_event",
        "answer",
        "sample",
        "usage",
    )

    def __init__(
        self,
        attempt: attempts.BackendAttempt,
        include_usage: bool,
        send: Send | None,
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
        self._held: events.LastEvent | None = None
        self._usage_event: events.LastEvent | None = None
        self.answer = bytearray()
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
                splitter.drop_rest()
                await self._attempt.resume(splitter.count, error)
        if done:
            return
        raise self._attempt.build_error(
            "answer_incomplete",
            "The engine ended the stream without its end marker; discard "
            "what was received and send the request again.",
            retry_after_s=_RETRY_AFTER_S,
        )

    def take_end(self, extra: dict[str, Any]) -> bytes:
        """Returns the end of the stream with the extra field."""
        values = []
        if self._held is not None:
            values.append(dict(self._held.value))
        if self._include_usage and self._usage_event is not None:
            values.append(dict(self._usage_event.value))
        if not values:
            values.append({"object": "chat.completion.chunk", "choices": []})
        values[-1][EXTRA_FIELD] = extra
        end = b"".join(events.encode_value(value) for value in values)
        return end + events.DONE_EVENT

    async def _relay_connection(self, splitter: events.DataSplitter) -> bool:
        """Relays one connection; returns whether the end marker came."""
        chunks = self._attempt.chunks()
        async for chunk in chunks:
            done = self._relay_all(splitter.feed(chunk))
            await self._send_pending()
            if done:
                await self._drain(chunks)
                return True
        return False

    def _relay_all(self, parts: list[bytes]) -> bool:
        for data in parts:
            if events.is_done(data):
                return True
            self._relay(data)
        return False

    async def _drain(self, chunks: AsyncIterator[bytes]) -> None:
        """Reads to the end, so that closing does not cancel the stream."""
        try:
            async with asyncio.timeout(_DRAIN_TIMEOUT_S):
                async for _ in chunks:
                    pass
        except (TimeoutError, errors.DragonflydykeError):
            return

    def _relay(self, data: bytes) -> None:
        message = events.find_error(data)
        if message is not None:
            raise self._attempt.build_error(
                "backend_failed",
                f"The engine reported an error: {message}",
                retry_after_s=_RETRY_AFTER_S,
            )
        last = events.parse_last(data)
        if last is None:
            self._emit_held()
            self._emit(events.encode_event(data))
            return
        self._hold(last)

    def _hold(self, last: events.LastEvent) -> None:
        self.usage = last.usage or self.usage
        if last.is_usage_only:
            self._usage_event = last
            return
        self._emit_held()
        if not self._include_usage:
            last.value.pop("usage", None)
        self._held = last

    def _emit_held(self) -> None:
        if self._held is not None:
            held, self._held = self._held, None
            self._emit(events.encode_value(held.value))

    def _emit(self, event: bytes) -> None:
        self._attempt.produced_events += 1
        self.answer += event
        if self._is_sampled and len(self.sample) < _MAX_SAMPLE_BYTES:
            self.sample += event

    async def _send_pending(self) -> None:
        """Sends the events of one chunk together, which saves writes."""
        if self._send is not None:
            if self.answer:
                data = bytes(self.answer)
                self.answer.clear()
                await self._send(data)
            return
        if len(self.answer) > attempts.MAX_ANSWER_BYTES:
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
    attempt: attempts.BackendAttempt, answer: services.BackendAnswer
) -> None:
    """Raises an error if an engine answers with another status than 200."""
    if answer.status == 200:
        return
    body = await attempt.read_body(attempts.MAX_ERROR_BYTES)
    text = body[:500].decode("utf-8", "replace")
    if answer.status in _MALFORMED_STATUSES:
        raise attempt.build_error(
            "backend_rejected",
            f"The engine refused the request, correct it: {text}",
            status=400,
            execution=errors.Execution.NOT_RUN,
        )
    refused = answer.status in _REFUSED_STATUSES
    raise attempt.build_error(
        "backend_refused" if refused else "backend_failed",
        f"The engine answered with status {answer.status}, retry later: {text}",
        status=503 if refused else 502,
        execution=(
            errors.Execution.NOT_RUN if refused else errors.Execution.UNKNOWN
        ),
        retry_after_s=_RETRY_AFTER_S,
    )
