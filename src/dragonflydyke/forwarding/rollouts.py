"""Decisions on the rollout of a new version to a pool; no I/O.

Sessions span nodes that do not communicate with each other, and a session must
not move to the new version early, nor back to the old one. So the version of a
session is a function of its id and of the stage, which all nodes read from the
store. In the first half no session uses the new version, then a growing share
of the sessions does, and all of them shortly before the old servers stop.
"""

import collections
import dataclasses
import enum
import functools
from collections.abc import Iterable, Mapping, Sequence

from dragonflydyke.configuration import model as configuration
from dragonflydyke.forwarding import model
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
# The evidence is checked by that rule for this time before the stage FULL, so
# that all nodes can report theirs first.
_COMPLETION_CHECK_S = 2.0
# The error share of the new version must exceed that of the old one by this
# factor, since failures and slowness may affect all versions. The factor for
# impaired attempts is lower: the servers of the old version have more load, so
# the new version should be faster.
_OLD_FAILURES_FACTOR = 2.0
_OLD_IMPAIRED_FACTOR = 1.2
# No exposure in the first half, plus a margin for the delays of nodes.
_FIRST_EXPOSURE_SHARE = 0.52
# Limits on the share of the sessions in the canary: enough to evaluate a
# version at all, and few enough to tolerate a bad one.
_MIN_CANARY_SHARE = 0.03
_MAX_CANARY_SHARE = 0.2
# A single crashed server must not look like a bad version, so at least this
# many bad attempts must be at servers other than the worst one.
_MIN_BAD_AT_OTHER_SERVERS = 1
# The old servers stop when the rollout completes. In the full stage before that
# they finish their requests in flight, while new requests are sent to the new
# servers. The stage is late and short, as all of it is exposure if the version
# is bad.
_MAX_FULL_STAGE_S = 0.75
_MAX_FULL_STAGE_SHARE = 0.04
_COMPLETED_SHARE_OF_FULL_STAGE = 0.8
# Fraction of the exposure limit that is planned for; the rest is a margin for
# traffic that grows during the rollout.
_PLANNED_EXPOSURE_SHARE = 0.65
# Fraction of the additional requests that is planned for. Their share of the
# sessions is fixed from the traffic of the first half, so it takes more of them
# if the traffic doubles in the second.
_PLANNED_ADDITIONAL_SHARE = 0.2
_MAX_ENLARGED_CANARY_SHARE = 0.6
# Ratio of all attempts to those in the evidence, which lacks the ones that are
# discarded or in progress.
_ATTEMPTS_FACTOR = 1.4
# Age, as a share of the duration, at which the nodes of a small fleet report
# their traffic. Larger fleets have enough traffic for their canary, and their
# reports would conflict.
TRAFFIC_REPORT_SHARE = 0.4
MAX_REPORTING_NODES = 16
# Evaluated attempts at the new version without which a rollout does not leave
# the canary: the time alone says nothing if the store was away or the servers
# could not be reached meanwhile.
_MIN_EVALUATED_ATTEMPTS = 8
# Share of its planned time for which a canary must have been in force.
_MIN_CANARY_TIME_SHARE = 0.5
# A pool without requests would otherwise keep two versions for good.
_MAX_WAIT_DURATIONS = 2.0
# A share of the nodes that must have reported.
_MIN_REPORTED_SHARE = 0.6


class Stage(enum.StrEnum):
    """Stage of a rollout."""

    WAITING = "waiting"
    CANARY = "canary"
    FULL = "full"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


_FINAL_STAGES = frozenset((Stage.COMPLETED, Stage.ROLLED_BACK))
_STAGE_ORDER = tuple(Stage)


@dataclasses.dataclass(slots=True, frozen=True)
class ExposureLimit:
    """Number of requests of a rollout that a bad version may receive.

    Attributes:
        share: Fraction of the requests of the whole rollout.
        additional: Further requests.
    """

    share: float
    additional: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """An operator's order to move a pool to a version within a duration."""

    pool: str
    version: str
    duration_s: float

    def find_stage_end(self, stage: Stage) -> tuple[float, Stage]:
        """Returns the age in seconds at which a stage ends, and the next."""
        if stage is Stage.WAITING:
            return self.duration_s * _FIRST_EXPOSURE_SHARE, Stage.CANARY
        if stage is Stage.CANARY:
            return self.duration_s - self.full_stage_s, Stage.FULL
        complete_s = self.full_stage_s * _COMPLETED_SHARE_OF_FULL_STAGE
        return self.duration_s - complete_s, Stage.COMPLETED

    def is_completion_near(self, progress: "Progress", age_s: float) -> bool:
        """Returns whether the rollout completes soon unless it is stopped.

        Args:
            progress: Shared state.
            age_s: Seconds since this node first saw the order.
        """
        if progress.stage is Stage.FULL:
            return True
        check_s = self.duration_s - self.full_stage_s - _COMPLETION_CHECK_S
        return progress.stage is Stage.CANARY and age_s >= check_s

    @property
    def full_stage_s(self) -> float:
        """Duration in seconds of the stage FULL, before the rollout ends."""
        return min(_MAX_FULL_STAGE_S, self.duration_s * _MAX_FULL_STAGE_SHARE)

    @property
    def min_canary_s(self) -> float:
        """Least duration in seconds of the stage CANARY."""
        planned_share = 1.0 - _FIRST_EXPOSURE_SHARE
        return self.duration_s * planned_share * _MIN_CANARY_TIME_SHARE

    @property
    def min_full_stage_s(self) -> float:
        """Least duration in seconds of the stage FULL."""
        return self.full_stage_s * (1.0 - _COMPLETED_SHARE_OF_FULL_STAGE)

    def find_exposed_share(self, stage: Stage, exposure_share: float) -> float:
        """Returns the share of the sessions that use the new version.

        Args:
            stage: A stage that is not final.
            exposure_share: Fraction of the requests of the whole rollout that
                a bad version may receive. The exposure of the stage FULL, in
                which all sessions use the new version, is subtracted before
                the rest is allotted to the canary.
        """
        if stage is Stage.WAITING:
            return 0.0
        if stage is Stage.FULL:
            return 1.0
        full_share = self.full_stage_s / self.duration_s
        canary_time_share = 1.0 - _FIRST_EXPOSURE_SHARE - full_share
        if canary_time_share <= 0.0:
            return _MIN_CANARY_SHARE
        planned_share = exposure_share * _PLANNED_EXPOSURE_SHARE
        share = (planned_share - full_share) / canary_time_share
        return min(_MAX_CANARY_SHARE, max(_MIN_CANARY_SHARE, share))


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


@dataclasses.dataclass(slots=True, frozen=True)
class Progress:
    """State of a rollout that all nodes share.

    Attributes:
        version: Version of the order that it belongs to.
        stage: Stage in force.
        evidence: Reported attempts by VM and route.
        canary_share: Share of the sessions in the canary, 0 for the share that
            follows from the exposure limit alone.
    """

    version: str
    stage: Stage = Stage.WAITING
    evidence: Mapping[str, NodeEvidence] = dataclasses.field(
        default_factory=dict
    )
    canary_share: float = 0.0

    @property
    def is_final(self) -> bool:
        """Whether the rollout is completed or rolled back."""
        return self.stage in _FINAL_STAGES

    def is_behind(self, other: "Progress") -> bool:
        """Returns whether this lacks a stage or a canary share of another."""
        if self.is_final:
            return False
        own_rank = _STAGE_ORDER.index(self.stage)
        if own_rank != _STAGE_ORDER.index(other.stage):
            return own_rank < _STAGE_ORDER.index(other.stage)
        return self.canary_share < other.canary_share


@dataclasses.dataclass(slots=True, frozen=True)
class VersionRule:
    """Which versions of a pool a request may use.

    Attributes:
        preferred: The only version to use while servers have it; empty for any
            except `avoided`.
        avoided: Version that is used only if no other version has servers.
        is_forbidden: Whether the avoided version may not be used at all.
    """

    preferred: str = ""
    avoided: str = ""
    is_forbidden: bool = False

    def matches(self, version: str) -> bool:
        """Returns whether servers of a version are the first choice."""
        if self.preferred:
            return version == self.preferred
        return version != self.avoided


def select_version_rule(
    order: Order | None,
    progress: Progress | None,
    session: str,
    *,
    exposure_share: float,
    is_suspended: bool,
) -> VersionRule:
    """Returns the rule for a session.

    Args:
        order: Order for the pool, if there is one.
        progress: Shared state, None before the first write.
        session: Id of the session, or of the request without one.
        exposure_share: Fraction of the requests that a bad version may receive.
        is_suspended: Whether this node suspended exposure on local evidence.
    """
    if order is None:
        return VersionRule()
    stage = Stage.WAITING
    if progress is not None and progress.version == order.version:
        stage = progress.stage
    if stage is Stage.COMPLETED:
        return VersionRule(preferred=order.version)
    if stage is Stage.ROLLED_BACK or is_suspended:
        return VersionRule(avoided=order.version, is_forbidden=True)
    share = order.find_exposed_share(stage, exposure_share)
    if stage is Stage.CANARY and progress is not None:
        share = max(share, progress.canary_share)
    if model.hash_fraction(f"session {session}") < share:
        return VersionRule(preferred=order.version)
    return VersionRule(avoided=order.version, is_forbidden=share == 0.0)


def merge_progress(
    known: Progress | None, stored: Progress | None
) -> Progress | None:
    """Returns the progress of a rollout, which never goes back.

    A store that was restored from a copy may lack a stage that was in force,
    or reports of nodes.

    Args:
        known: Progress that this node knows.
        stored: Progress in the store, on the same order.
    """
    if known is None or stored is None:
        return stored or known
    newest = known if stored.is_behind(known) else stored
    evidence = {**known.evidence, **stored.evidence}
    return dataclasses.replace(newest, evidence=evidence)


def find_canary_share(
    order: Order,
    limit: ExposureLimit,
    evidence: Mapping[str, NodeEvidence],
    nodes: int,
) -> float:
    """Returns the share of the sessions for a canary.

    Designed for small fleets with little traffic, whose canary would otherwise
    get too few requests to tell a bad version. The additional requests that a
    bad version may receive are then a large part of all requests.

    Args:
        order: The order.
        limit: Limit on the requests that a bad version may receive.
        evidence: Reported attempts, by which the traffic is estimated.
        nodes: Number of nodes.
    """
    share = order.find_exposed_share(Stage.CANARY, limit.share)
    attempts = sum(
        entry.old.attempts
        for routes in evidence.values()
        for entry in routes.values()
    )
    if not attempts or len(evidence) < nodes * _MIN_REPORTED_SHARE:
        return share
    per_duration = attempts * _ATTEMPTS_FACTOR / TRAFFIC_REPORT_SHARE
    per_duration *= max(1.0, nodes / len(evidence))
    canary_time_share = 1.0 - _FIRST_EXPOSURE_SHARE
    planned = limit.additional * _PLANNED_ADDITIONAL_SHARE
    enlarged = share + planned / (per_duration * canary_time_share)
    return max(share, min(enlarged, _MAX_ENLARGED_CANARY_SHARE))


def find_due_stage(
    order: Order, progress: Progress | None, age_s: float
) -> Stage | None:
    """Returns the stage that a rollout should enter now, or None.

    Args:
        order: The order.
        progress: Shared state, None before the first write.
        age_s: Seconds since this node first saw the order.
    """
    if progress is None or progress.version != order.version:
        return Stage.WAITING
    if progress.is_final:
        return None
    end_s, next_stage = order.find_stage_end(progress.stage)
    return next_stage if age_s >= end_s else None


def has_evaluation(evidence: Mapping[str, NodeEvidence]) -> bool:
    """Returns whether enough attempts at the new version were evaluated."""
    counts = _sum_counts(map(sum_new_version, evidence.values()))
    return counts.attempts >= _MIN_EVALUATED_ATTEMPTS


def may_leave_stage(
    order: Order, progress: Progress, age_s: float, stage_age_s: float
) -> bool:
    """Returns whether a rollout may enter the stage after the current one.

    A version is completed because it was found to be good and not because it
    was not found to be bad: the store may have been away during the canary, or
    the new servers unreachable.

    Args:
        order: The order.
        progress: Shared state.
        age_s: Seconds since this node first saw the order.
        stage_age_s: Seconds since this node first saw the stage.
    """
    if progress.stage is Stage.FULL:
        return stage_age_s >= order.min_full_stage_s
    if progress.stage is not Stage.CANARY:
        return True
    return stage_age_s >= order.min_canary_s and (
        has_evaluation(progress.evidence)
        or age_s >= order.duration_s * _MAX_WAIT_DURATIONS
    )


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
