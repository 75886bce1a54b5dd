"""Counters, gauges and timings, kept in memory and sent to statsd."""

import collections
import re

import statsd

_RESERVED_CHARACTERS = re.compile(r"[^A-Za-z0-9_.-]")


class Counters:
    """Counts events of one process.

    Increments are summed in memory and sent once per `flush`, so that counting
    costs no system call on the request path.
    """

    __slots__ = ("_client", "_totals", "_unflushed", "gauges", "timings")

    def __init__(self, client: statsd.StatsClient | None = None) -> None:
        """Creates counters.

        Args:
            client: Destination of `flush`; None keeps the counts in memory.
        """
        self._client = client
        self._totals: collections.Counter[str] = collections.Counter()
        self._unflushed: collections.Counter[str] = collections.Counter()
        self.gauges: dict[str, float] = {}
        self.timings: list[tuple[str, float]] = []

    def increment(self, name: str, count: int = 1) -> None:
        """Adds to a counter; characters that statsd reserves become `_`."""
        name = _RESERVED_CHARACTERS.sub("_", name)
        self._totals[name] += count
        self._unflushed[name] += count

    def set_gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        self.gauges[_RESERVED_CHARACTERS.sub("_", name)] = value

    def record_timing(self, name: str, milliseconds: float) -> None:
        """Records a duration in milliseconds until the next flush."""
        if self._client is not None:
            self.timings.append(
                (_RESERVED_CHARACTERS.sub("_", name), milliseconds)
            )

    def total(self, name: str) -> int:
        """Returns how often a counter was incremented since the start."""
        return self._totals[name]

    def totals(self) -> dict[str, int]:
        """Returns all counters and their totals since the start."""
        return dict(self._totals)

    def flush(self) -> None:
        """Sends everything since the last flush to statsd."""
        if self._client is None:
            self._unflushed.clear()
            return
        with self._client.pipeline() as pipeline:
            for name, count in self._unflushed.items():
                pipeline.incr(name, count)
            for name, value in self.gauges.items():
                pipeline.gauge(name, value)
            for name, milliseconds in self.timings:
                pipeline.timing(name, milliseconds)
        self._unflushed.clear()
        self.timings.clear()


def connect_counters(host: str, port: int, prefix: str) -> Counters:
    """Returns counters that are flushed to a statsd server over UDP."""
    return Counters(statsd.StatsClient(host, port, prefix=prefix))
