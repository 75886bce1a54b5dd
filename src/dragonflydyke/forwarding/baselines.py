"""Usual times of servers, against which a new version is compared."""

import collections
import dataclasses

_MAX_SAMPLES = 64
_MIN_SAMPLES = 8


@dataclasses.dataclass(slots=True, frozen=True)
class SlowThresholdRule:
    """When a time counts as slow.

    Attributes:
        usual_share: Part of the usual samples that are faster than the one a
            time is compared with.
        factor: How many times slower than that one is slow.
        min_slow_s: Times up to this are never slow.
    """

    baseline_quantile: float
    factor: float
    min_threshold_s: float


# New servers have little load, so they are compared with the fast attempts at
# the others. Below a tenth of a second the network decides.
FIRST_BYTE_RULE = SlowThresholdRule(
    baseline_quantile=0.2, factor=4.0, min_threshold_s=0.1
)
# The shorter pauses of a stream hardly depend on load, so twice the usual one
# tells a slow version from a busy server.
EVENT_GAP_RULE = SlowThresholdRule(
    baseline_quantile=0.5, factor=2.0, min_threshold_s=0.01
)


class LatencyBaseline:
    """Usual times by kind of work."""

    __slots__ = ("_rule", "_samples")

    def __init__(self, rule: SlowThresholdRule) -> None:
        self._rule = rule
        self._samples: dict[str, collections.deque[float]] = {}

    def record(self, kind: str, duration_s: float) -> None:
        """Adds a time seen at a version in use."""
        found = self._samples.setdefault(
            kind, collections.deque(maxlen=_MAX_SAMPLES)
        )
        found.append(duration_s)

    def find_slow_threshold_s(self, kind: str) -> float | None:
        """Returns the time from which on work is slow, None if unknown."""
        found = self._samples.get(kind, ())
        if len(found) < _MIN_SAMPLES:
            return None
        usual_s = sorted(found)[int(len(found) * self._rule.baseline_quantile)]
        return max(usual_s * self._rule.factor, self._rule.min_threshold_s)


# Enough pauses to leave out those in which the engine read a long prompt; many
# streams have no more.
_SAMPLED_GAP_COUNT = 4
# Events that arrive together were held up by the network.
_MIN_GAP_S = 0.001
# Position of the pause that stands for a stream, from the shortest.
_TYPICAL_GAP_RANK = 1


class EventGapEstimator:
    """Measures the typical pause between the first events of a stream."""

    __slots__ = ("_gaps", "_last_s")

    def __init__(self) -> None:
        self._gaps: list[float] = []
        self._last_s: float | None = None

    def record_event(self, now_s: float) -> float | None:
        """Notes an event; returns the pause once, when it is known.

        Args:
            now_s: Loop time of its arrival.
        """
        if len(self._gaps) >= _SAMPLED_GAP_COUNT:
            return None
        last_s = self._last_s
        self._last_s = now_s
        if last_s is None or now_s - last_s < _MIN_GAP_S:
            return None
        self._gaps.append(now_s - last_s)
        if len(self._gaps) < _SAMPLED_GAP_COUNT:
            return None
        return sorted(self._gaps)[_TYPICAL_GAP_RANK]
