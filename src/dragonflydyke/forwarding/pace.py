"""Usual times of servers, against which a new version is compared."""

import collections

_MAX_SAMPLES = 64
_MIN_SAMPLES = 8
# New servers have little load, so they are compared with the fast attempts at
# the others; a prompt without a cached beginning takes three times as long.
_FAST_SHARE = 0.2
_SLOW_FACTOR = 4.0
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

    def find_slow_bound_s(self, kind: str) -> float | None:
        """Returns the time after which an attempt is slow, None if unknown."""
        found = self._samples.get(kind, ())
        if len(found) < _MIN_SAMPLES:
            return None
        fast_s = sorted(found)[int(len(found) * _FAST_SHARE)]
        return max(fast_s * _SLOW_FACTOR, _MIN_SLOW_S)
