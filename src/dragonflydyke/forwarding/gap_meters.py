"""Measures the gaps between the events of a stream while it runs; no I/O."""


class GapMeter:
    """Measures the mean gap between events of a stream.

    Time in which the client does not read is not counted.
    """

    __slots__ = ("_gaps", "_last_s", "_started_s")

    def __init__(self) -> None:
        """Creates a meter without events."""
        self._gaps = 0
        self._started_s: float | None = None
        self._last_s = 0.0

    def record_event(self, now_s: float) -> None:
        """Records an event that arrived at a loop time."""
        self._last_s = now_s
        if self._started_s is None:
            self._started_s = now_s
        else:
            self._gaps += 1

    def exclude(self, seconds: float) -> None:
        """Excludes the time since the last event from the next gap."""
        if self._started_s is not None:
            self._started_s += seconds

    def take_gap_s(self, min_gaps: int) -> float | None:
        """Returns the mean of the gaps since the last call.

        Args:
            min_gaps: Number of gaps below which None is returned.
        """
        if self._started_s is None or self._gaps < min_gaps:
            return None
        gap_s = max(0.0, self._last_s - self._started_s) / self._gaps
        self._started_s = self._last_s
        self._gaps = 0
        return gap_s
