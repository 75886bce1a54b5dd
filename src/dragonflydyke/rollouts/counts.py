"""Counts per rollout and version, from which rollouts are decided."""

import collections
import dataclasses
import itertools
from collections.abc import Iterable
from typing import TypeVar

from dragonflydyke.configuration import model
from dragonflydyke.rollouts import decisions

_MILLI = 1_000
_Value = TypeVar("_Value")
# Limits the memory per version. With a larger `min_samples`, only the sums over
# the fleet can meet the stop condition.
_MAX_RECENT_SAMPLES = 10_000


@dataclasses.dataclass(slots=True)
class VersionCount:
    """Cumulative counts of one version since the start of the process.

    Attributes:
        roll_out: Name of the rollout.
        version: Name of the version.
        requests: Number of finished attempts.
        failures: Number of attempts that failed after the connection was open.
        ratings: Number of rated responses.
        rating_sum_milli: Sum of the ratings in thousandths.
        restrained: Whether this node has suspended exposure because its newest
            samples met the stop condition.
    """

    roll_out: str
    version: str
    requests: int = 0
    failures: int = 0
    ratings: int = 0
    rating_sum_milli: int = 0
    restrained: bool = False


class _RecentSamples:
    """Most recent outcomes and ratings of one version."""

    __slots__ = ("failures", "ratings")

    def __init__(self) -> None:
        self.failures: collections.deque[bool] = collections.deque(
            maxlen=_MAX_RECENT_SAMPLES
        )
        self.ratings: collections.deque[float] = collections.deque(
            maxlen=_MAX_RECENT_SAMPLES
        )

    def sample(self, size: int) -> decisions.VersionSample:
        """Returns the most recent samples, at most `size` of each kind."""
        failures = _get_newest(self.failures, size)
        ratings = _get_newest(self.ratings, size)
        return decisions.VersionSample(
            requests=len(failures),
            failures=sum(failures),
            ratings=len(ratings),
            rating_sum=sum(ratings),
        )


class VersionCounts:
    """Counts of this node, which are never reset while the process runs.

    Exposure is suspended by the most recent samples only: in the sums, many
    good responses would hide a version that becomes bad later.
    """

    __slots__ = ("_counts", "_last_checked", "_recent", "_suspended")

    def __init__(self) -> None:
        self._counts: dict[tuple[str, str], VersionCount] = {}
        self._recent: dict[tuple[str, str], _RecentSamples] = {}
        # Rollouts as configured when they met their stop condition. Kept,
        # because a suspended version may get no more samples.
        self._suspended: dict[str, model.Rollout] = {}
        self._last_checked: dict[str, tuple[model.Rollout, int]] = {}

    def record_request(
        self, roll_out: str, version: str, *, failed: bool
    ) -> None:
        """Counts a finished attempt."""
        count = self._get_or_create_count(roll_out, version)
        count.requests += 1
        count.failures += int(failed)
        self._recent[roll_out, version].failures.append(failed)

    def record_rating(self, roll_out: str, version: str, rating: float) -> None:
        """Counts the rating of a response, 0..1."""
        count = self._get_or_create_count(roll_out, version)
        count.ratings += 1
        count.rating_sum_milli += round(rating * _MILLI)
        self._recent[roll_out, version].ratings.append(rating)

    def get_count(self, roll_out: str, version: str) -> VersionCount:
        """Returns a copy of the counts of a version."""
        existing = self._counts.get((roll_out, version))
        if existing is None:
            return VersionCount(roll_out, version)
        return dataclasses.replace(existing)

    def list_counts(self) -> tuple[VersionCount, ...]:
        """Returns copies of all counts, for the report to other nodes."""
        return tuple(dataclasses.replace(c) for c in self._counts.values())

    def is_suspended(self, roll_out: model.Rollout) -> bool:
        """Returns whether the newest local samples met the stop condition.

        Once they have, exposure stays suspended until the configuration of the
        rollout changes.
        """
        if self._suspended.get(roll_out.name) == roll_out:
            return True
        key = (roll_out.name, roll_out.to_version)
        count = self._counts.get(key)
        if count is None:
            return False
        if self._suspended.pop(roll_out.name, None) is not None:
            count.restrained = False
        sample_state = (roll_out, count.requests + count.ratings)
        if self._last_checked.get(roll_out.name) == sample_state:
            return False
        self._last_checked[roll_out.name] = sample_state
        sample = self._recent[key].sample(max(roll_out.stop.min_samples, 1))
        if decisions.find_stop_reason(roll_out.stop, sample) is None:
            return False
        self._suspended[roll_out.name] = roll_out
        count.restrained = True
        return True

    def apply_configuration(self, roll_outs: Iterable[model.Rollout]) -> None:
        """Ends the suspensions of rollouts that are configured differently.

        Other nodes count the reported suspensions, also while this node has
        no requests that would check them.
        """
        for roll_out in roll_outs:
            self.is_suspended(roll_out)

    def _get_or_create_count(self, roll_out: str, version: str) -> VersionCount:
        key = (roll_out, version)
        if key not in self._counts:
            self._counts[key] = VersionCount(roll_out, version)
            self._recent[key] = _RecentSamples()
        return self._counts[key]


def _get_newest(
    values: collections.deque[_Value], size: int
) -> tuple[_Value, ...]:
    return tuple(itertools.islice(reversed(values), size))
