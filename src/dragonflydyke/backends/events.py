"""Splitting of a streamed answer into server-sent events."""

import re

from dragonflydyke import errors

MAX_EVENT_BYTES = 1_000_000
_EVENT_END = re.compile(rb"\r?\n\r?\n")


class EventSplitter:
    """Splits body chunks into whole server-sent events.

    Chunk boundaries carry no meaning, so an event may arrive in parts. After a
    loss, `count` is the index from which the stream must be resumed; the
    incomplete rest is dropped, because the engine sends that event again.

    Attributes:
        count: Whole events returned so far, over all connections.
    """

    __slots__ = ("_incomplete_event", "count")

    def __init__(self) -> None:
        self._incomplete_event = b""
        self.count = 0

    def feed(self, chunk: bytes) -> list[bytes]:
        """Returns the events that a chunk completes, without blank lines.

        Raises:
            DragonflydykeError: `answer_invalid` if an event is too long.
        """
        data = self._incomplete_event + chunk
        # The plain split is much faster than the pattern.
        plain = b"\r" not in data
        events = data.split(b"\n\n") if plain else _EVENT_END.split(data)
        self._incomplete_event = events.pop()
        self.count += len(events)
        if len(self._incomplete_event) > MAX_EVENT_BYTES:
            raise errors.DragonflydykeError(
                "answer_invalid",
                f"The engine sent an event of over {MAX_EVENT_BYTES} bytes; "
                "check the engine.",
                step=errors.Step.READ_ANSWER,
                execution=errors.Execution.UNKNOWN,
                status=502,
            )
        return events

    @property
    def has_incomplete_event(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._incomplete_event)

    def discard_incomplete_event(self) -> None:
        """Forgets an incomplete event before the stream is resumed."""
        self._incomplete_event = b""
