"""Holds a response of the smallest model while the largest is tried; no I/O.

Designed for bursts in which most requests of a node are escalated at the same
time. Each response has some kilobytes. Their memory is taken from that of all
responses of the node, and other responses may use the larger part of it.
"""

import collections
import enum
from collections.abc import Callable, Iterator

from dragonflydyke.forwarding import response_memory

# Memory of a `bytes` object and its place in a queue, beside its contents.
_OVERHEAD_BYTES = 64
# Bytes of one held stream. A response of the smallest model has some kilobytes,
# and one that does not end must not use the memory of all others.
_MAX_BYTES = 262_144


class StreamStatus(enum.Enum):
    """How far a held stream was read.

    OPEN means that the rest is still to come, COMPLETE that it was read to its
    end. FAILED means that it was lost or is not valid, STOPPED that the node
    has no memory to hold more of it.
    """

    OPEN = "open"
    COMPLETE = "complete"
    FAILED = "failed"
    STOPPED = "stopped"


class HeldStream:
    """Events of one response, in order, while its attempt is read on.

    Attributes:
        confidence: Confidence that the model reported.
        status: How far it was read.
        event_count: Number of events so far.
    """

    __slots__ = (
        "_events",
        "_last_event_id",
        "_on_change",
        "_reservation",
        "confidence",
        "event_count",
        "status",
    )

    def __init__(
        self,
        memory: response_memory.ResponseMemory,
        confidence: float | None,
        last_event_id: int | None,
        on_change: Callable[[], None],
    ) -> None:
        """Creates an open stream without events.

        Args:
            memory: Memory of all responses of the node.
            confidence: Confidence that the model reported.
            last_event_id: Last event that the client has, None for none.
            on_change: Called after each event and change of the status.
        """
        self.confidence = confidence
        self.status = StreamStatus.OPEN
        self.event_count = 0
        self._last_event_id = last_event_id
        self._on_change = on_change
        self._events: collections.deque[bytes] = collections.deque()
        self._reservation = response_memory.Reservation(
            memory, is_optional=True
        )

    @property
    def is_complete(self) -> bool:
        """Whether it was read to its end."""
        return self.status is StreamStatus.COMPLETE

    @property
    def is_usable(self) -> bool:
        """Whether it can be relayed."""
        return self.status in (StreamStatus.OPEN, StreamStatus.COMPLETE)

    def append(self, event: bytes, event_id: int | None) -> bool:
        """Holds the next event.

        The status is STOPPED afterwards if there is no memory for the event.

        Args:
            event: The event without its blank line.
            event_id: Its id, None if it has none.

        Returns:
            Whether its id follows that of the event before.
        """
        last = self._last_event_id
        if event_id is not None and last is not None and event_id != last + 1:
            return False
        size = self._reservation.size + len(event) + _OVERHEAD_BYTES
        if size > _MAX_BYTES or not self._reservation.resize(size):
            self.end(StreamStatus.STOPPED)
            return True
        if event_id is not None:
            self._last_event_id = event_id
        self._events.append(event)
        self.event_count += 1
        self._on_change()
        return True

    def end(self, status: StreamStatus) -> None:
        """Records that no more events will be held, and why."""
        self.status = status
        self._on_change()

    def take_events(self) -> Iterator[bytes]:
        """Yields the events; each is freed once the next one is taken."""
        while self._events:
            event = self._events.popleft()
            yield event
            size = self._reservation.size - len(event) - _OVERHEAD_BYTES
            self._reservation.resize(max(0, size))

    def release(self) -> None:
        """Frees the events and their memory."""
        self._events.clear()
        self._reservation.release()
