"""Counters, gauges and timings, collected in memory and sent to statsd."""

import collections
import re

import statsd

_RESERVED_CHARACTERS = re.compile(r"[^A-Za-z0-9_.-]")


class Counters:
    """Metrics of one process.

    Increments are added up in memory and sent by `flush`, so that counting
    needs no system call on the request path.

    Attributes:
        gauges: Last value of each gauge by name.
        timings: Names and durations in milliseconds since the last flush.
    """

    __slots__ = ("_client", "_totals", "_unflushed", "gauges", "timings")

    def __init__(self, client: statsd.StatsClient | None = None) -> None:
        """Creates an empty set of metrics.

        Args:
            client: Statsd client that `flush` sends to; None only collects
                counters and gauges in memory.
        """
        self._client = client
        self._totals: collections.Counter[str] = collections.Counter()
        self._unflushed: collections.Counter[str] = collections.Counter()
        self.gauges: dict[str, float] = {}
        self.timings: list[tuple[str, float]] = []

    def increment(self, name: str, count: int = 1) -> None:
        """Adds `count` to a counter.

        Characters that are reserved in statsd names are replaced by `_`, here
        and in the names of gauges and timings.
        """
        name = _RESERVED_CHARACTERS.sub("_", name)
        self._totals[name] += count
        self._unflushed[name] += count

    def set_gauge(self, name: str, value: float) -> None:
        """Sets the current value of a gauge."""
        self.gauges[_RESERVED_CHARACTERS.sub("_", name)] = value

    def record_timing(self, name: str, milliseconds: float) -> None:
        """Records a duration for the next flush; ignored without statsd."""
        if self._client is not None:
            self.timings.append(
                (_RESERVED_CHARACTERS.sub("_", name), milliseconds)
            )

    def total(self, name: str) -> int:
        """Returns the value of a counter since the process started."""
        return self._totals[name]

    def totals(self) -> dict[str, int]:
        """Returns the values of all counters since the process started."""
        return dict(self._totals)

    def flush(self) -> None:
        """Sends new increments and timings and all gauges to statsd."""
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
    """Returns metrics that are flushed to a statsd server over UDP.

    Args:
        host: Host of the statsd server.
        port: UDP port of the statsd server.
        prefix: Prefix of all metric names.
    """
    return Counters(statsd.StatsClient(host, port, prefix=prefix))
