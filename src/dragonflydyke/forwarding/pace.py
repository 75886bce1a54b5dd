"""Usual times of servers, against which a new version is compared."""

import collections
import statistics

_MAX_SAMPLES = 64
_MIN_SAMPLES = 8
# A slow version takes several times as long; ordinary variation of loaded
# servers stays below this factor for most attempts.
_SLOW_FACTOR = 3.0
# Differences between shorter times are noise of the network.
_MIN_SLOW_S = 0.1


class PaceBook:
    """Times to the first byte by kind of work."""

    __slots__ = ("_samples",)

    def __init__(self) -> None:
        self._samples: dict[str, collections.deque[float]] = {}

    def record(self, kind: str, latency_s: float) -> None:
        """Adds the time of an attempt at a version in use."""
        found = self._samples.setdefault(
            kind, collections.deque(maxlen=_MAX_SAMPLES)
        )
        found.append(latency_s)

    def is_slow(self, kind: str, latency_s: float) -> bool:
        """Returns whether an attempt took much longer than usual.

        Args:
            kind: Kind of work, whose times are comparable.
            latency_s: Time to the first byte, or until the attempt ended
                without one.
        """
        found = self._samples.get(kind, ())
        if len(found) < _MIN_SAMPLES:
            return False
        bound_s = statistics.median(found) * _SLOW_FACTOR
        return latency_s > max(bound_s, _MIN_SLOW_S)
