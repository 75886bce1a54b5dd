"""Evidence on a new version, and whether it calls for a rollback; no I/O."""

import collections
import dataclasses
import functools
from collections.abc import Iterable, Mapping, Sequence

from dragonflydyke.configuration import model as configuration
from dragonflydyke.rollouts import decisions

# Servers of a good version hardly ever return errors, and on small fleets few
# requests reach the canary, so a small sample is sufficient.
_FAILURE_STOP = configuration.StopCondition(
    min_samples=3, min_rating=0.0, max_error_share=0.12
)
_MIN_FAILURES = 2


@dataclasses.dataclass(slots=True, frozen=True)
class _ImpairedRule:
    """Minimum number and share of impaired attempts for a rollback."""

    min_impaired: int
    stop: configuration.StopCondition


# Queues and crashes impair attempts on any version, so a rollback requires more
# impaired attempts than failed ones, and a larger share of them in small
# samples.
_IMPAIRED_RULES = (
    _ImpairedRule(
        4,
        configuration.StopCondition(
            min_samples=6, min_rating=0.0, max_error_share=0.5
        ),
    ),
    _ImpairedRule(
        5,
        configuration.StopCondition(
            min_samples=8, min_rating=0.0, max_error_share=0.4
        ),
    ),
)
# A completed rollout cannot be rolled back, so less evidence prevents the
# completion than ends a canary. Small fleets send a canary few requests.
_COMPLETION_RULES = (
    _ImpairedRule(
        2,
        configuration.StopCondition(
            min_samples=2, min_rating=0.0, max_error_share=0.39
        ),
    ),
    _ImpairedRule(
        3,
        configuration.StopCondition(
            min_samples=3, min_rating=0.0, max_error_share=0.3
        ),
    ),
)
# The error share of the new version must exceed that of the old one by this
# factor, since failures and slowness may affect all versions. The factor for
# impaired attempts is lower: the servers of the old version have more load, so
# the new version should be faster.
_OLD_FAILURES_FACTOR = 2.0
_OLD_IMPAIRED_FACTOR = 1.2
# A single crashed server must not look like a bad version, so at least this
# many bad attempts must be at servers other than the worst one.
_MIN_BAD_AT_OTHER_SERVERS = 1
# Evaluated attempts at the new version without which a rollout does not leave
# the canary: the time alone says nothing if the store was away or the servers
# could not be reached meanwhile.
_MIN_EVALUATED_ATTEMPTS = 8


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptCounts:
    """Counts of the attempts at a version.

    Attributes:
        attempts: All attempts.
        failed: Attempts for which the server itself returned an error.
        impaired: Slow and lost attempts, which queues and crashes also cause.
    """

    attempts: int = 0
    failed: int = 0
    impaired: int = 0

    @property
    def bad(self) -> int:
        """Number of failed and impaired attempts."""
        return self.failed + self.impaired

    def add(self, other: "AttemptCounts") -> "AttemptCounts":
        """Returns the sum of both."""
        return AttemptCounts(
            self.attempts + other.attempts,
            self.failed + other.failed,
            self.impaired + other.impaired,
        )


@dataclasses.dataclass(slots=True, frozen=True)
class RouteEvidence:
    """Attempts of a node on one route during a rollout.

    Attributes:
        new: Attempts at the new version.
        old: Attempts at other versions.
        bad_servers: Number of bad attempts at the new version by server.
    """

    new: AttemptCounts = AttemptCounts()
    old: AttemptCounts = AttemptCounts()
    bad_servers: Mapping[str, int] = dataclasses.field(default_factory=dict)


NodeEvidence = Mapping[str, RouteEvidence]


def has_evaluation(evidence: Mapping[str, NodeEvidence]) -> bool:
    """Returns whether enough attempts at the new version were evaluated."""
    counts = _sum_counts(map(sum_new_version, evidence.values()))
    return counts.attempts >= _MIN_EVALUATED_ATTEMPTS


def should_roll_back(
    evidence: Mapping[str, NodeEvidence], *, completes_soon: bool = False
) -> bool:
    """Returns whether evidence calls for a rollback.

    A version may be bad on a single route, so failures are evaluated over all
    routes and for each route separately.

    Args:
        evidence: Attempts by VM and route.
        completes_soon: Whether the rollout completes soon.
    """
    by_route = _collect_routes(evidence)
    all_entries = [entry for entries in by_route.values() for entry in entries]
    by_server: collections.Counter[str] = collections.Counter()
    for entry in all_entries:
        by_server.update(entry.bad_servers)
    worst_server_count = max(by_server.values(), default=0)
    if by_server.total() - worst_server_count < _MIN_BAD_AT_OTHER_SERVERS:
        return False
    rules = _IMPAIRED_RULES
    if completes_soon:
        rules += _COMPLETION_RULES
    if _has_excess_impaired(all_entries, rules):
        return True
    return any(
        _has_excess_failures(entries)
        for entries in (all_entries, *by_route.values())
    )


def sum_new_version(evidence: NodeEvidence) -> AttemptCounts:
    """Returns the attempts at the new version on all routes."""
    return _sum_counts(entry.new for entry in evidence.values())


def _collect_routes(
    evidence: Mapping[str, NodeEvidence],
) -> dict[str, list[RouteEvidence]]:
    entries: dict[str, list[RouteEvidence]] = {}
    for routes in evidence.values():
        for route, entry in routes.items():
            entries.setdefault(route, []).append(entry)
    return entries


def _has_excess_failures(evidence: Sequence[RouteEvidence]) -> bool:
    new = _sum_counts(entry.new for entry in evidence)
    old = _sum_counts(entry.old for entry in evidence)
    return new.failed >= _MIN_FAILURES and _is_worse(
        decisions.VersionSample(new.attempts, new.failed),
        decisions.VersionSample(old.attempts, old.failed),
        _FAILURE_STOP,
        _OLD_FAILURES_FACTOR,
    )


def _has_excess_impaired(
    evidence: Sequence[RouteEvidence], rules: Sequence[_ImpairedRule]
) -> bool:
    new = _sum_counts(entry.new for entry in evidence)
    old = _sum_counts(entry.old for entry in evidence)
    return any(
        new.impaired >= rule.min_impaired
        and _is_worse(
            decisions.VersionSample(new.attempts, new.impaired),
            decisions.VersionSample(old.attempts, old.impaired),
            rule.stop,
            _OLD_IMPAIRED_FACTOR,
        )
        for rule in rules
    )


def _is_worse(
    new: decisions.VersionSample,
    old: decisions.VersionSample,
    stop: configuration.StopCondition,
    old_factor: float,
) -> bool:
    if decisions.find_stop_reason(stop, new) is None:
        return False
    return new.error_share > old.error_share * old_factor


def _sum_counts(counts: Iterable[AttemptCounts]) -> AttemptCounts:
    return functools.reduce(AttemptCounts.add, counts, AttemptCounts())
