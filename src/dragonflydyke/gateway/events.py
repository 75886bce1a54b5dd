"""Splitting and selective parsing of the server-sent events of an engine."""

import dataclasses
import json
import re
from typing import Any

from dragonflydyke import backends

END_MARKER_EVENT = b"data: [DONE]\n\n"

_DATA_PREFIX = re.compile(rb"^data: ?", re.MULTILINE)
# Quotes inside JSON strings are escaped, so these patterns cannot match the
# text of a completion.
_USAGE_PATTERN = re.compile(rb'"usage"\s*:\s*\{')
_ERROR_PATTERN = re.compile(rb'\s*\{\s*"error"\s*:\s*(?!null)\S')
_FINISH_REASON_PATTERN = re.compile(rb'"finish_reason"\s*:\s*"')


class DataSplitter(backends.EventSplitter):
    """Splits a byte stream into the `data` fields of its events."""

    __slots__ = ()

    def feed(self, chunk: bytes) -> list[bytes]:
        """Returns the data of the events that end in the chunk.

        Raises:
            DragonflydykeError: `answer_invalid` if an event is too long.
        """
        events = super().feed(chunk)
        return [data for data in map(_extract_data, events) if data]


@dataclasses.dataclass(slots=True, frozen=True)
class TokenUsage:
    """Numbers of tokens that an engine reported."""

    prompt_tokens: int
    completion_tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class FinalEvent:
    """Event near the end of a stream, with the finish reason or the usage."""

    value: dict[str, Any]
    usage: TokenUsage | None

    @property
    def has_only_usage(self) -> bool:
        """Whether the event has the usage but no part of the completion."""
        return self.usage is not None and not self.value.get("choices")


def is_end_marker(data: bytes) -> bool:
    """Returns whether an event is the end marker."""
    return data.strip() == b"[DONE]"


def parse_final_event(data: bytes) -> FinalEvent | None:
    """Parses an event with a finish reason or the usage.

    Returns:
        The parsed event, or None for any other event; those are relayed
        unparsed.
    """
    if not _USAGE_PATTERN.search(data) and not _FINISH_REASON_PATTERN.search(
        data
    ):
        return None
    try:
        value = json.loads(data)
    except (ValueError, RecursionError):
        return None
    if not isinstance(value, dict):
        return None
    return FinalEvent(value, parse_usage(value.get("usage")))


def parse_usage(value: Any) -> TokenUsage | None:
    """Parses a `usage` field; returns None if it is missing or invalid."""
    if not isinstance(value, dict):
        return None
    prompt = value.get("prompt_tokens")
    completion = value.get("completion_tokens")
    if not _is_count(prompt) or not _is_count(completion):
        return None
    return TokenUsage(prompt, completion)


def find_error(data: bytes) -> str | None:
    """Returns the start of an error event of an engine; None for others."""
    if not _ERROR_PATTERN.match(data):
        return None
    return data.decode("utf-8", "replace")[:200]


def encode_event(data: bytes) -> bytes:
    """Returns the data encoded as one server-sent event."""
    lines = data.replace(b"\r\n", b"\n").split(b"\n")
    return b"".join(b"data: " + line + b"\n" for line in lines) + b"\n"


def encode_value(value: Any) -> bytes:
    """Returns a JSON value encoded as one server-sent event."""
    return encode_event(json.dumps(value, separators=(",", ":")).encode())


def _is_count(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


def _extract_data(event: bytes) -> bytes:
    lines = event.splitlines()
    data = [
        _DATA_PREFIX.sub(b"", line, count=1)
        for line in lines
        if line.startswith(b"data:")
    ]
    return b"\n".join(data)
