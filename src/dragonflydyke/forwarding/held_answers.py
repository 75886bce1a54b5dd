"""Holds a response of the smallest model while the largest is tried; no I/O.

Designed for bursts in which most requests of a node are escalated at the same
time. Each response has some kilobytes. Their memory is taken from that of all
responses of the node, and other responses may use the larger part of it.
"""

from tornado import httputil

from dragonflydyke.forwarding import contexts, response_memory

# Memory of a `bytes` object and its place in a list, beside its contents.
_OVERHEAD_BYTES = 64


class HeldAnswer:
    """Events of one response, in order.

    Attributes:
        confidence: Confidence that the model reported.
        is_complete: Whether the response was read to its end.
        lacks_memory: Whether the node has no memory to hold more of it. The
            events so far are held, and reading must stop.
    """

    __slots__ = (
        "_events",
        "_headers",
        "_last_event_id",
        "_reservation",
        "_status",
        "confidence",
        "is_complete",
        "lacks_memory",
    )

    def __init__(
        self,
        memory: response_memory.ResponseMemory,
        status: int,
        headers: httputil.HTTPHeaders,
        confidence: float | None,
        last_event_id: int | None,
    ) -> None:
        """Creates an answer without events.

        Args:
            memory: Memory of all responses of the node.
            status: HTTP status of the response.
            headers: Its headers for the client.
            confidence: Confidence that the model reported.
            last_event_id: Last event that the client has, None for none.
        """
        self.confidence = confidence
        self.is_complete = False
        self.lacks_memory = False
        self._status = status
        self._headers = headers
        self._last_event_id = last_event_id
        self._events: list[bytes] = []
        self._reservation = response_memory.Reservation(
            memory, is_optional=True
        )

    @property
    def event_count(self) -> int:
        """Number of events that are held."""
        return len(self._events)

    def append(self, event: bytes, event_id: int | None) -> bool:
        """Holds the next event.

        Args:
            event: The event without its blank line.
            event_id: Its id, None if it has none.

        Returns:
            Whether its id follows that of the event before.
        """
        if event_id is not None:
            last = self._last_event_id
            if last is not None and event_id != last + 1:
                return False
            self._last_event_id = event_id
        self._events.append(event)
        size = self._reservation.size + len(event) + _OVERHEAD_BYTES
        self.lacks_memory |= not self._reservation.resize(size)
        return True

    def take_events(self) -> list[bytes]:
        """Returns the events, which are no longer held."""
        events, self._events = self._events, []
        self._reservation.release()
        return events

    def send(self, writer: contexts.ResponseWriter) -> None:
        """Sends the response; its memory is held until the client has it."""
        body = b"".join(event + b"\n\n" for event in self._events)
        self._events = []
        written = writer.send_stream(self._status, self._headers, body)
        written.add_done_callback(lambda _: self._reservation.release())

    def release(self) -> None:
        """Frees the events and their memory."""
        self._events = []
        self._reservation.release()
