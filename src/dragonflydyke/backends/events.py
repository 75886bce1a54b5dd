"""Splitting of a streamed answer into server-sent events."""

import re

_EVENT_END = re.compile(rb"\r?\n\r?\n")


class EventSplitter:
    """Splits body chunks into whole server-sent events.

    Chunk boundaries carry no meaning, so an event may arrive in parts. After a
    loss, `count` is the index from which the stream must be resumed; the
    incomplete rest is dropped, because the engine sends that event again.

    Attributes:
        count: Whole events returned so far, over all connections.
    """

    __slots__ = ("_rest", "count")

    def __init__(self) -> None:
        self._rest = b""
        self.count = 0

    def feed(self, chunk: bytes) -> list[bytes]:
        """Returns the events that a chunk completes, without blank lines."""
        *events, self._rest = _EVENT_END.split(self._rest + chunk)
        self.count += len(events)
        return events

    def drop_rest(self) -> None:
        """Forgets an incomplete event before the stream is resumed."""
        self._rest = b""
