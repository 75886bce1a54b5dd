"""Counts per roll-out and version, from which roll-outs are decided."""

import dataclasses

from dragonflydyke.configuration import model
from dragonflydyke.rollouts import decisions

_MILLI = 1_000


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
    """

    roll_out: str
    version: str
    requests: int = 0
    failures: int = 0
    ratings: int = 0
    rating_sum_milli: int = 0


class VersionCounts:
    """Counts of this node, never reset while the process runs."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: dict[tuple[str, str], VersionCount] = {}

    def record_request(
        self, roll_out: str, version: str, *, failed: bool
    ) -> None:
        """Counts an attempt that ended."""
        count = self._count(roll_out, version)
        count.requests += 1
        count.failures += int(failed)

    def record_rating(self, roll_out: str, version: str, rating: float) -> None:
        """Counts the rating of an answer, 0..1."""
        count = self._count(roll_out, version)
        count.ratings += 1
        count.rating_sum_milli += round(rating * _MILLI)

    def count(self, roll_out: str, version: str) -> VersionCount:
        """Returns a copy of the counts of a version."""
        found = self._counts.get((roll_out, version))
        if found is None:
            return VersionCount(roll_out, version)
        return dataclasses.replace(found)

    def counts(self) -> tuple[VersionCount, ...]:
        """Returns copies of all counts, for the report to other nodes."""
        return tuple(dataclasses.replace(c) for c in self._counts.values())

    def meets_stop(self, roll_out: model.RollOut) -> bool:
        """Returns whether the own sample meets the stop condition."""
        count = self._counts.get((roll_out.name, roll_out.to_version))
        if count is None:
            return False
        sample = decisions.VersionSample(
            requests=count.requests,
            failures=count.failures,
            ratings=count.ratings,
            rating_sum=count.rating_sum_milli / _MILLI,
        )
        return decisions.find_stop_reason(roll_out.stop, sample) is not None

    def _count(self, roll_out: str, version: str) -> VersionCount:
        key = (roll_out, version)
        if key not in self._counts:
            self._counts[key] = VersionCount(roll_out, version)
        return self._counts[key]
