"""Splitting of streamed responses into server-sent events."""

import re

from dragonflydyke import errors

MAX_EVENT_BYTES = 1_000_000
_EVENT_END = re.compile(rb"\r?\n\r?\n")


class EventSplitter:
    """Splits the chunks of a body into complete server-sent events.

    An event may span several chunks. After a connection loss, `count` is the
    index of the event at which to resume the stream. Discard the incomplete
    event before, because the engine sends it again.

    Attributes:
        count: Number of complete events so far, over all connections.
    """

    __slots__ = ("_incomplete_event", "count")

    def __init__(self) -> None:
        self._incomplete_event = b""
        self.count = 0

    def feed(self, chunk: bytes) -> list[bytes]:
        """Returns the events that end in a chunk, without their blank lines.

        Raises:
            DragonflydykeError: `answer_invalid` if an event is longer than
                MAX_EVENT_BYTES.
        """
        data = self._incomplete_event + chunk
        # bytes.split is much faster than the regular expression.
        plain = b"\r" not in data
        events = data.split(b"\n\n") if plain else _EVENT_END.split(data)
        self._incomplete_event = events.pop()
        self.count += len(events)
        if len(self._incomplete_event) > MAX_EVENT_BYTES:
            raise errors.DragonflydykeError(
                "answer_invalid",
                f"The engine sent an event longer than {MAX_EVENT_BYTES} "
                "bytes; check the engine.",
                step=errors.Step.READ_ANSWER,
                execution=errors.Execution.UNKNOWN,
                status=502,
            )
        return events

    @property
    def has_incomplete_event(self) -> bool:
        """Whether part of an event was received but not its end."""
        return bool(self._incomplete_event)

    @property
    def incomplete_bytes(self) -> int:
        """Size of the incomplete event."""
        return len(self._incomplete_event)

    def discard_incomplete_event(self) -> None:
        """Discards an incomplete event, before the stream is resumed."""
        self._incomplete_event = b""
