"""Roll-outs of a new version to the servers of a pool; decisions, no I/O.

Sessions span nodes that do not talk to each other, and a session must not
move to the new version early, nor back. So the version of a session is a rule
of its id and of the stage, which the store holds for all nodes: in the first
half nobody gets the new version, then a growing part of all sessions, and all
of them shortly before the old servers are stopped.
"""

import dataclasses
import enum
from collections.abc import Mapping

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


class Stage(enum.StrEnum):
    """How far a roll-out has come."""

    WAITING = "waiting"
    CANARY = "canary"
    WIDE = "wide"
    FULL = "full"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


_FINAL_STAGES = frozenset((Stage.COMPLETED, Stage.ROLLED_BACK))


@dataclasses.dataclass(slots=True, frozen=True)
class _Plan:
    """What holds in a stage.

    Attributes:
        share: Part of the sessions that the new version gets.
        until: Part of the time of the order at which the stage ends.
        following: The next stage.
    """

    share: float
    until: float
    following: Stage


# The time at full share lets the old servers end what they work on.
_PLANS: Mapping[Stage, _Plan] = {
    Stage.WAITING: _Plan(0.0, 0.54, Stage.CANARY),
    Stage.CANARY: _Plan(0.12, 0.72, Stage.WIDE),
    Stage.WIDE: _Plan(0.35, 0.78, Stage.FULL),
    Stage.FULL: _Plan(1.0, 0.9, Stage.COMPLETED),
}


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """An operator's order to move a pool to a version within a time."""

    pool: str
    version: str
    duration_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class NodeEvidence:
    """What one node saw of the new and of the old versions.

    Attributes:
        new: Attempts at the new version.
        old: Attempts at other versions.
    """

    new: decisions.VersionSample = decisions.VersionSample()
    old: decisions.VersionSample = decisions.VersionSample()


@dataclasses.dataclass(slots=True, frozen=True)
class Progress:
    """State of a roll-out that all nodes share.

    Attributes:
        version: Version of the order that it belongs to.
        stage: Stage in force.
        evidence: What nodes reported, by VM.
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
    """

    wanted: str = ""
    avoided: str = ""
    is_forbidden: bool = False

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
    share = _PLANS[stage].share
    if model.hash_fraction(f"session {session}") < share:
        return VersionRule(wanted=order.version)
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
    plan = _PLANS[progress.stage]
    if age_s < plan.until * order.duration_s:
        return None
    return plan.following


def is_failing(evidence: Mapping[str, NodeEvidence]) -> bool:
    """Returns whether the evidence of all nodes calls for a roll-back."""
    new = _sum_samples([entry.new for entry in evidence.values()])
    old = _sum_samples([entry.old for entry in evidence.values()])
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
