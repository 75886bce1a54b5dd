"""Server-sent events of an engine, split but mostly not parsed."""

import dataclasses
import json
import re
from typing import Any

from dragonflydyke import backends

END_MARKER_EVENT = b"data: [DONE]\n\n"

_DATA_PREFIX = re.compile(rb"^data: ?", re.MULTILINE)
# Inside JSON strings quotes are escaped, so that neither pattern matches the
# text of an answer.
_USAGE_PATTERN = re.compile(rb'"usage"\s*:\s*\{')
_ERROR_PATTERN = re.compile(rb'\s*\{\s*"error"\s*:\s*(?!null)\S')
_FINISH_REASON_PATTERN = re.compile(rb'"finish_reason"\s*:\s*"')


class DataSplitter(backends.EventSplitter):
    """Splits a byte stream into the data of its events."""

    __slots__ = ()

    def feed(self, chunk: bytes) -> list[bytes]:
        """Returns the data of the events that the chunk completes.

        Raises:
            DragonflydykeError: `answer_invalid` if an event is too long.
        """
        events = super().feed(chunk)
        return [data for data in map(_extract_data, events) if data]


@dataclasses.dataclass(slots=True, frozen=True)
class TokenUsage:
    """Tokens that an engine counted."""

    prompt_tokens: int
    completion_tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class FinalEvent:
    """An event at the end of a stream: the finish reason or the usage."""

    value: dict[str, Any]
    usage: TokenUsage | None

    @property
    def has_only_usage(self) -> bool:
        """Whether the event holds no part of the answer."""
        return self.usage is not None and not self.value.get("choices")


def is_end_marker(data: bytes) -> bool:
    """Returns whether an event is the end marker."""
    return data.strip() == b"[DONE]"


def parse_final_event(data: bytes) -> FinalEvent | None:
    """Returns the event parsed if it belongs to the end of the stream.

    All other events are relayed unparsed.
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
    """Returns the usage of an answer, None if it has none."""
    if not isinstance(value, dict):
        return None
    prompt = value.get("prompt_tokens")
    completion = value.get("completion_tokens")
    if not _is_count(prompt) or not _is_count(completion):
        return None
    return TokenUsage(prompt, completion)


def find_error(data: bytes) -> str | None:
    """Returns the message of an error event of an engine, or None."""
    if not _ERROR_PATTERN.match(data):
        return None
    return data.decode("utf-8", "replace")[:200]


def encode_event(data: bytes) -> bytes:
    """Returns data as one event."""
    lines = data.replace(b"\r\n", b"\n").split(b"\n")
    return b"".join(b"data: " + line + b"\n" for line in lines) + b"\n"


def encode_value(value: Any) -> bytes:
    """Returns a JSON value as one event."""
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
