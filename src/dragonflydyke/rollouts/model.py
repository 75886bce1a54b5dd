"""State of a rollout as stored in the platform."""

import dataclasses
import enum
from collections.abc import Mapping
from typing import Any

from dragonflydyke import errors


class RolloutPhase(enum.Enum):
    """Phase of a rollout; STOPPED and FINISHED are final."""

    RUNNING = "running"
    STOPPED = "stopped"
    FINISHED = "finished"


@dataclasses.dataclass(slots=True, frozen=True)
class RolloutState:
    """State of a rollout, as last decided by a lease holder.

    Attributes:
        name: Name of the rollout.
        phase: Whether the rollout is running, was stopped or is finished.
        step: Index of the exposure step in force.
        since_ms: Unix time in milliseconds at which the step or the final
            phase started.
        decided_by: VM that made the decision.
        fencing: Fencing token of the lease under which it was made.
        reason: Why the rollout was stopped, empty otherwise.
    """

    name: str
    phase: RolloutPhase
    step: int
    since_ms: int
    decided_by: str
    fencing: int
    reason: str = ""

    def is_behind(self, other: "RolloutState") -> bool:
        """Returns whether another state of this rollout follows this one."""
        if self.phase is not RolloutPhase.RUNNING:
            return False
        if other.phase is not RolloutPhase.RUNNING:
            return True
        return self.step < other.step

    def to_mapping(self) -> dict[str, Any]:
        """Returns the JSON value that the platform stores."""
        return {
            "state": self.phase.value,
            "step": self.step,
            "since_ms": self.since_ms,
            "decided_by": self.decided_by,
            "fencing": self.fencing,
            "reason": self.reason,
        }


def parse_state(name: str, value: Mapping[str, Any]) -> RolloutState:
    """Returns the state parsed from the stored JSON value.

    Args:
        name: Name of the rollout.
        value: Value that `RolloutState.to_mapping` returned.

    Raises:
        DragonflydykeError: `roll_out_malformed` if a field is missing or not
            valid.
    """
    try:
        return RolloutState(
            name=name,
            phase=RolloutPhase(value["state"]),
            step=int(value["step"]),
            since_ms=int(value["since_ms"]),
            decided_by=value["decided_by"],
            fencing=int(value["fencing"]),
            reason=value.get("reason", ""),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise errors.DragonflydykeError(
            "roll_out_malformed",
            f"the stored state of rollout {name} cannot be parsed: {error!r}",
            step=errors.Step.ROLL_OUT,
            status=503,
        ) from error
