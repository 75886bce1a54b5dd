"""A positive quantity that is learned from samples; no I/O.

Designed for one or two samples a second of which up to a fifth come from
servers in trouble. The mean of the middle half of the recent samples excludes
them, and no server contributes more samples than it leaves out.
"""

import collections
import dataclasses
import math

# About twenty seconds of samples of one node, few enough to follow a change.
_MAX_SAMPLES = 32
# A server contributes at most a quarter of the samples, which is what the mean
# of the middle half leaves out, or this number.
_MIN_SERVER_SAMPLES = 4
# Older samples say little about the present load. Without this bound, a value
# that stops the requests it is learned from would stay forever.
_MAX_AGE_S = 120.0
# Weight of the prior, in samples: a dozen samples count three quarters.
_PRIOR_WEIGHT = 4.0


@dataclasses.dataclass(slots=True, frozen=True)
class Prior:
    """What is assumed without samples, and how far samples may move it.

    Attributes:
        value: Value without samples.
        min_factor: Smallest learned value as a multiple of it.
        max_factor: Largest learned value as a multiple of it.
    """

    value: float
    min_factor: float
    max_factor: float

    def scale(self, factor: float) -> "Prior":
        """Returns the prior of a quantity that is a multiple of this one."""
        return Prior(self.value * factor, self.min_factor, self.max_factor)

    def apply(self, factor: float) -> float:
        """Returns a multiple of the value, within the bounds."""
        return self.value * min(self.max_factor, max(self.min_factor, factor))


@dataclasses.dataclass(slots=True, frozen=True)
class _Sample:
    time_s: float
    server_name: str
    logarithm: float


class LearnedValue:
    """Recent samples of one quantity."""

    __slots__ = ("_samples",)

    def __init__(self) -> None:
        """Creates a value without samples."""
        self._samples: collections.deque[_Sample] = collections.deque(
            maxlen=_MAX_SAMPLES
        )

    def add(self, server_name: str, value: float, now_s: float) -> bool:
        """Adds a sample.

        Returns:
            Whether it was used; values that are not positive and finite are
            not.
        """
        if not (0 < value < math.inf):
            return False
        same = [s for s in self._samples if s.server_name == server_name]
        if len(same) >= max(_MIN_SERVER_SAMPLES, len(self._samples) // 4):
            self._samples.remove(same[0])
        self._samples.append(_Sample(now_s, server_name, math.log(value)))
        return True

    def count(self, now_s: float | None) -> int:
        """Returns the number of samples, of all ages if `now_s` is None."""
        return len(self._list_recent(now_s))

    def find_weight(self, now_s: float | None) -> float:
        """Returns the weight of the samples beside the prior, 0..1."""
        count = self.count(now_s)
        return count / (count + _PRIOR_WEIGHT)

    def resolve(self, prior: Prior, now_s: float | None) -> float:
        """Returns the learned value, which is the prior without samples.

        Args:
            prior: What is assumed without samples.
            now_s: Loop time, None to use samples of all ages.
        """
        recent = self._list_recent(now_s)
        if not recent or prior.value <= 0:
            return prior.value
        mean = _find_middle_mean(recent)
        weight = len(recent) / (len(recent) + _PRIOR_WEIGHT)
        return prior.apply(math.exp(weight * (mean - math.log(prior.value))))

    def find_mean(self, now_s: float | None) -> float | None:
        """Returns the mean of the middle samples, None without samples."""
        recent = self._list_recent(now_s)
        return math.exp(_find_middle_mean(recent)) if recent else None

    def _list_recent(self, now_s: float | None) -> list[float]:
        return [
            sample.logarithm
            for sample in self._samples
            if now_s is None or now_s - sample.time_s <= _MAX_AGE_S
        ]


def _find_middle_mean(values: list[float]) -> float:
    """Returns the mean of the middle half of the values."""
    outer = len(values) // 4
    middle = sorted(values)[outer : len(values) - outer]
    return sum(middle) / len(middle)
