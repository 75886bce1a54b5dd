"""Counts per roll-out and version, from which roll-outs are decided."""

import collections
import dataclasses
import itertools
from typing import TypeVar

from dragonflydyke.configuration import model
from dragonflydyke.rollouts import decisions

_MILLI = 1_000
_Value = TypeVar("_Value")
# Bounds the memory of one version; a larger `min_samples` is decided from the
# sums of the fleet only.
_MAX_RECENT = 10_000


@dataclasses.dataclass(slots=True)
class VersionCount:
    """Cumulative counts of one version since the start of the process.

    Attributes:
        roll_out: Name of the roll-out.
        version: Name of the version.
        requests: Attempts that ended.
        failures: Attempts that failed after the connection was open.
        ratings: Answers that were rated.
        rating_sum_milli: Sum of the ratings in thousandths.
        restrained: Whether the newest samples met the stop condition once.
    """

    roll_out: str
    version: str
    requests: int = 0
    failures: int = 0
    ratings: int = 0
    rating_sum_milli: int = 0
    restrained: bool = False


class _Recent:
    """Newest outcomes and ratings of one version."""

    __slots__ = ("failures", "ratings")

    def __init__(self) -> None:
        self.failures: collections.deque[bool] = collections.deque(
            maxlen=_MAX_RECENT
        )
        self.ratings: collections.deque[float] = collections.deque(
            maxlen=_MAX_RECENT
        )

    def sample(self, size: int) -> decisions.VersionSample:
        """Returns the newest samples, at most `size` of each kind."""
        failures = _take_newest(self.failures, size)
        ratings = _take_newest(self.ratings, size)
        return decisions.VersionSample(
            requests=len(failures),
            failures=sum(failures),
            ratings=len(ratings),
            rating_sum=sum(ratings),
        )


class VersionCounts:
    """Counts of this node, never reset while the process runs.

    The node restrains itself by its newest samples: a version that turns bad
    after many good answers would otherwise be hidden by them.
    """

    __slots__ = ("_checked", "_counts", "_recent", "_restrained")

    def __init__(self) -> None:
        self._counts: dict[tuple[str, str], VersionCount] = {}
        self._recent: dict[tuple[str, str], _Recent] = {}
        # Roll-outs as configured when they met their stop condition; no more
        # samples may come, so that is kept.
        self._restrained: dict[str, model.Rollout] = {}
        self._checked: dict[str, tuple[model.Rollout, int]] = {}

    def record_request(
        self, roll_out: str, version: str, *, failed: bool
    ) -> None:
        """Counts an attempt that ended."""
        count = self._count(roll_out, version)
        count.requests += 1
        count.failures += int(failed)
        self._recent[roll_out, version].failures.append(failed)

    def record_rating(self, roll_out: str, version: str, rating: float) -> None:
        """Counts the rating of an answer, 0..1."""
        count = self._count(roll_out, version)
        count.ratings += 1
        count.rating_sum_milli += round(rating * _MILLI)
        self._recent[roll_out, version].ratings.append(rating)

    def count(self, roll_out: str, version: str) -> VersionCount:
        """Returns a copy of the counts of a version."""
        found = self._counts.get((roll_out, version))
        if found is None:
            return VersionCount(roll_out, version)
        return dataclasses.replace(found)

    def counts(self) -> tuple[VersionCount, ...]:
        """Returns copies of all counts, for the report to other nodes."""
        return tuple(dataclasses.replace(c) for c in self._counts.values())

    def meets_stop(self, roll_out: model.Rollout) -> bool:
        """Returns whether the newest own samples met the stop condition."""
        if self._restrained.get(roll_out.name) == roll_out:
            return True
        key = (roll_out.name, roll_out.to_version)
        count = self._counts.get(key)
        if count is None:
            return False
        state = (roll_out, count.requests + count.ratings)
        if self._checked.get(roll_out.name) == state:
            return False
        self._checked[roll_out.name] = state
        sample = self._recent[key].sample(max(roll_out.stop.min_samples, 1))
        if decisions.find_stop_reason(roll_out.stop, sample) is None:
            return False
        self._restrained[roll_out.name] = roll_out
        count.restrained = True
        return True

    def _count(self, roll_out: str, version: str) -> VersionCount:
        key = (roll_out, version)
        if key not in self._counts:
            self._counts[key] = VersionCount(roll_out, version)
            self._recent[key] = _Recent()
        return self._counts[key]


def _take_newest(
    values: collections.deque[_Value], size: int
) -> tuple[_Value, ...]:
    return tuple(itertools.islice(reversed(values), size))
