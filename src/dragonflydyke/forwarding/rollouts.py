"""Roll-outs of a new version to the servers of a pool; decisions, no I/O.

Sessions span nodes that do not talk to each other, and a session must not
move to the new version early, nor back. So the version of a session is a rule
of its id and of the stage, which the store holds for all nodes: in the first
half nobody gets the new version, then a growing part of all sessions, and all
of them shortly before the old servers are stopped.
"""

import dataclasses
import enum
from collections.abc import Mapping, Sequence

from dragonflydyke.configuration import model as configuration
from dragonflydyke.forwarding import model
from dragonflydyke.rollouts import decisions

# More failures than a few crashed or grey servers cause, and fewer than reach
# the bound on bad answers when each node sees a part of them.
_STOP = configuration.StopCondition(
    min_samples=6, min_rating=0.0, max_error_share=0.25
)
_MIN_FAILURES = 4
# A new version is not worse because all versions fail.
_FAILURE_FACTOR = 2.0
# So many failures make nodes without any report what they saw, too; else the
# share of failures would look larger than it is.
_SUSPICION_FAILURES = 3
# The first half is kept free, with a margin for the delays of nodes.
_FIRST_EXPOSURE_SHARE = 0.52
# Servers and sessions of the canary, a part that keeps exposure within its
# bound also when the traffic of the second half is larger.
_CANARY_SHARE = 0.14
# The old servers stop when the roll-out completes; until then they end what
# they work on, while new requests go to the new ones.
_FULL_BEFORE_END_S = 1.4
_COMPLETE_BEFORE_END_S = 0.7


class Stage(enum.StrEnum):
    """How far a roll-out has come."""

    WAITING = "waiting"
    CANARY = "canary"
    FULL = "full"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


_FINAL_STAGES = frozenset((Stage.COMPLETED, Stage.ROLLED_BACK))


_SHARES: Mapping[Stage, float] = {
    Stage.WAITING: 0.0,
    Stage.CANARY: _CANARY_SHARE,
    Stage.FULL: 1.0,
}


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """An operator's order to move a pool to a version within a time."""

    pool: str
    version: str
    duration_s: float

    def find_end(self, stage: Stage) -> tuple[float, Stage]:
        """Returns the age in seconds at which a stage ends, and the next."""
        if stage is Stage.WAITING:
            return self.duration_s * _FIRST_EXPOSURE_SHARE, Stage.CANARY
        if stage is Stage.CANARY:
            return self.duration_s - _FULL_BEFORE_END_S, Stage.FULL
        return self.duration_s - _COMPLETE_BEFORE_END_S, Stage.COMPLETED


@dataclasses.dataclass(slots=True, frozen=True)
class RouteEvidence:
    """What a node saw of the new and of the old versions on one route.

    Failures are failed and slow attempts.

    Attributes:
        new: Attempts at the new version.
        old: Attempts at other versions.
    """

    new: decisions.VersionSample = decisions.VersionSample()
    old: decisions.VersionSample = decisions.VersionSample()


NodeEvidence = Mapping[str, RouteEvidence]


@dataclasses.dataclass(slots=True, frozen=True)
class Progress:
    """State of a roll-out that all nodes share.

    Attributes:
        version: Version of the order that it belongs to.
        stage: Stage in force.
        evidence: What nodes reported, by VM and route.
    """

    version: str
    stage: Stage = Stage.WAITING
    evidence: Mapping[str, NodeEvidence] = dataclasses.field(
        default_factory=dict
    )

    @property
    def is_final(self) -> bool:
        """Whether the roll-out is over."""
        return self.stage in _FINAL_STAGES


@dataclasses.dataclass(slots=True, frozen=True)
class VersionRule:
    """Which versions of a pool a request may use.

    Attributes:
        wanted: The only version to use while servers have it; empty for any.
        avoided: Version that is used only if `wanted` is not given.
        is_forbidden: Whether the avoided version may not be used at all.
        server_share: Part of the servers of the wanted version to use.
    """

    wanted: str = ""
    avoided: str = ""
    is_forbidden: bool = False
    server_share: float = 1.0

    def allows(self, version: str) -> bool:
        """Returns whether the rule asks for a version."""
        if self.wanted:
            return version == self.wanted
        return version != self.avoided


def select_version(
    order: Order | None,
    progress: Progress | None,
    session: str,
    *,
    is_restrained: bool,
) -> VersionRule:
    """Returns the rule for a session.

    Args:
        order: Order for the pool, if there is one.
        progress: Shared state, None before the first write.
        session: Id of the session, or of the request without one.
        is_restrained: Whether this node itself saw the version fail.
    """
    if order is None:
        return VersionRule()
    stage = Stage.WAITING
    if progress is not None and progress.version == order.version:
        stage = progress.stage
    if stage is Stage.COMPLETED:
        return VersionRule(wanted=order.version)
    if stage is Stage.ROLLED_BACK or is_restrained:
        return VersionRule(avoided=order.version, is_forbidden=True)
    share = _SHARES[stage]
    if model.hash_fraction(f"session {session}") < share:
        # A canary on idle servers would not show a version that is bad only
        # under load, nor compare its times with those of busy servers.
        return VersionRule(wanted=order.version, server_share=share)
    return VersionRule(avoided=order.version, is_forbidden=share == 0.0)


def find_due_stage(
    order: Order, progress: Progress | None, age_s: float
) -> Stage | None:
    """Returns the stage that a roll-out should enter now, or None.

    Args:
        order: The order.
        progress: Shared state, None before the first write.
        age_s: Seconds since this node first saw the order.
    """
    if progress is None or progress.version != order.version:
        return Stage.WAITING
    if progress.is_final:
        return None
    end_s, following = order.find_end(progress.stage)
    return following if age_s >= end_s else None


def is_failing(evidence: Mapping[str, NodeEvidence]) -> bool:
    """Returns whether the evidence of all nodes calls for a roll-back.

    A version may be bad on one route only, so each counts by itself.
    """
    by_route = _collect_routes(evidence)
    everything = [entry for found in by_route.values() for entry in found]
    return any(_is_worse(found) for found in (everything, *by_route.values()))


def is_suspicious(evidence: Mapping[str, NodeEvidence]) -> bool:
    """Returns whether all nodes should report what they saw."""
    failures = sum(
        entry.new.failures
        for routes in evidence.values()
        for entry in routes.values()
    )
    return failures >= _SUSPICION_FAILURES


def _collect_routes(
    evidence: Mapping[str, NodeEvidence],
) -> dict[str, list[RouteEvidence]]:
    found: dict[str, list[RouteEvidence]] = {}
    for routes in evidence.values():
        for route, entry in routes.items():
            found.setdefault(route, []).append(entry)
    return found


def _is_worse(evidence: Sequence[RouteEvidence]) -> bool:
    new = _sum_samples([entry.new for entry in evidence])
    old = _sum_samples([entry.old for entry in evidence])
    if new.failures < _MIN_FAILURES:
        return False
    if decisions.find_stop_reason(_STOP, new) is None:
        return False
    return new.error_share > old.error_share * _FAILURE_FACTOR


def _sum_samples(
    samples: list[decisions.VersionSample],
) -> decisions.VersionSample:
    return decisions.VersionSample(
        requests=sum(sample.requests for sample in samples),
        failures=sum(sample.failures for sample in samples),
    )
