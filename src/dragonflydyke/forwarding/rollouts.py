"""Decisions on the rollout of a new version to a pool; no I/O.

Sessions span nodes that do not communicate with each other, and a session must
not move to the new version early, nor back to the old one. So the version of a
session is a function of its id and of the stage, which all nodes read from the
store. In the first half no session uses the new version, then a growing share
of the sessions does, and all of them shortly before the old servers stop.
"""

import dataclasses
import enum
from collections.abc import Mapping

from dragonflydyke.forwarding import model, rollout_evidence

# The evidence is checked by that rule for this time before the stage FULL, so
# that all nodes can report theirs first.
_COMPLETION_CHECK_S = 2.0
# No exposure in the first half, plus a margin for the delays of nodes.
_FIRST_EXPOSURE_SHARE = 0.52
# Limits on the share of the sessions in the canary: enough to evaluate a
# version at all, and few enough to tolerate a bad one.
_MIN_CANARY_SHARE = 0.03
_MAX_CANARY_SHARE = 0.2
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
    evidence: Mapping[str, rollout_evidence.NodeEvidence] = dataclasses.field(
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
    evidence: Mapping[str, rollout_evidence.NodeEvidence],
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
        rollout_evidence.has_evaluation(progress.evidence)
        or age_s >= order.duration_s * _MAX_WAIT_DURATIONS
    )
