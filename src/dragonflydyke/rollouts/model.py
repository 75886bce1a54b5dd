"""State of a roll-out as kept in the platform."""

import dataclasses
import enum
from collections.abc import Mapping
from typing import Any


class RolloutPhase(enum.Enum):
    """Phase of a roll-out; all but RUNNING are final."""

    RUNNING = "running"
    STOPPED = "stopped"
    FINISHED = "finished"


@dataclasses.dataclass(slots=True, frozen=True)
class RolloutState:
    """The one decision in force on a roll-out.

    Attributes:
        name: Name of the roll-out.
        phase: Whether it runs, was stopped or is finished.
        step: Index of the exposure step in force.
        since_ms: Unix time in milliseconds at which the step began.
        decided_by: VM that made the decision.
        fencing: Fencing token of the lease under which it was made.
        reason: Why it was stopped, empty otherwise.
    """

    name: str
    phase: RolloutPhase
    step: int
    since_ms: int
    decided_by: str
    fencing: int
    reason: str = ""

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
    """Parses the stored JSON value.

    Raises:
        KeyError: If a field is missing.
        ValueError: If the state is unknown.
    """
    return RolloutState(
        name=name,
        phase=RolloutPhase(value["state"]),
        step=int(value["step"]),
        since_ms=int(value["since_ms"]),
        decided_by=value["decided_by"],
        fencing=int(value["fencing"]),
        reason=value.get("reason", ""),
    )
