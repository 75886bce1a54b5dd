"""Latency baselines, against which a new version is compared."""

import collections
import dataclasses

_MAX_SAMPLES = 64
_MIN_SAMPLES = 8


@dataclasses.dataclass(slots=True, frozen=True)
class SlowThresholdRule:
    """Derives the slow threshold from the samples of a baseline.

    Attributes:
        baseline_quantile: Quantile of the samples that serves as the baseline,
            0..1.
        factor: Ratio of the threshold to the baseline.
        min_threshold_s: Lower limit of the threshold in seconds.
    """

    baseline_quantile: float
    factor: float
    min_threshold_s: float


# Servers of a new version have little load, so they are compared with the fast
# attempts at the other servers. Below 0.1 s network latency dominates.
FIRST_BYTE_RULE = SlowThresholdRule(
    baseline_quantile=0.2, factor=4.0, min_threshold_s=0.1
)
# The shorter inter-event gaps of a stream hardly depend on load, so a gap of
# twice the median indicates a slow version rather than a busy server.
EVENT_GAP_RULE = SlowThresholdRule(
    baseline_quantile=0.5, factor=2.0, min_threshold_s=0.01
)


class LatencyBaseline:
    """Recent latencies by key, such as a route and model."""

    __slots__ = ("_rule", "_samples")

    def __init__(self, rule: SlowThresholdRule) -> None:
        self._rule = rule
        self._samples: dict[str, collections.deque[float]] = {}

    def record(self, kind: str, duration_s: float) -> None:
        """Adds a latency measured at a version that is not being rolled out."""
        samples = self._samples.setdefault(
            kind, collections.deque(maxlen=_MAX_SAMPLES)
        )
        samples.append(duration_s)

    def find_slow_threshold_s(self, kind: str) -> float | None:
        """Returns the slow threshold, or None if there are too few samples."""
        samples = self._samples.get(kind, ())
        if len(samples) < _MIN_SAMPLES:
            return None
        baseline_s = sorted(samples)[
            int(len(samples) * self._rule.baseline_quantile)
        ]
        return max(baseline_s * self._rule.factor, self._rule.min_threshold_s)


# Enough gaps to exclude those during which the engine prefilled a long prompt;
# many streams have no more gaps than this.
_SAMPLED_GAP_COUNT = 4
# Events that arrive with a smaller gap were buffered by the network.
_MIN_GAP_S = 0.001
# Zero-based rank, from the shortest, of the gap that represents a stream.
_TYPICAL_GAP_RANK = 1


class EventGapEstimator:
    """Estimates the typical gap between the first events of a stream."""

    __slots__ = ("_gaps", "_last_s")

    def __init__(self) -> None:
        self._gaps: list[float] = []
        self._last_s: float | None = None

    def record_event(self, now_s: float) -> float | None:
        """Records an event and returns the typical gap once it is known.

        Args:
            now_s: Loop time of its arrival.

        Returns:
            The typical gap in seconds at the event that completes the sample,
            None at all other events.
        """
        if self.is_complete:
            return None
        last_s = self._last_s
        self._last_s = now_s
        if last_s is None or now_s - last_s < _MIN_GAP_S:
            return None
        self._gaps.append(now_s - last_s)
        if not self.is_complete:
            return None
        return sorted(self._gaps)[_TYPICAL_GAP_RANK]

    def is_slow_after(self, threshold_s: float) -> bool:
        """Returns whether one more gap above a threshold decides the estimate.

        The typical gap then exceeds the threshold whatever gaps follow, so that
        a slow stream is recognised before its next event arrives.
        """
        if self.is_complete:
            return False
        longer = sum(gap > threshold_s for gap in self._gaps)
        return longer + 1 >= _SAMPLED_GAP_COUNT - _TYPICAL_GAP_RANK

    @property
    def is_complete(self) -> bool:
        """Whether further events no longer change the estimate."""
        return len(self._gaps) >= _SAMPLED_GAP_COUNT
