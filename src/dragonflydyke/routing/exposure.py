"""Which share of new work a roll-out sends to the new version."""

import hashlib
from collections.abc import Mapping
from typing import Protocol

from dragonflydyke.configuration import model
from dragonflydyke.rollouts import model as rollouts

_HASH_BYTES = 8
_HASH_RANGE = 1 << (8 * _HASH_BYTES)


class Restraint(Protocol):
    """Decides whether this node keeps new work off the new version."""

    def meets_stop(self, roll_out: model.Rollout) -> bool:
        """Returns whether the own sample meets the stop condition."""


def compute_share(
    roll_out: model.Rollout,
    states: Mapping[str, rollouts.RollOutState],
    restraint: Restraint | None,
) -> float:
    """Returns the share of new work on the new version, 0..1.

    A roll-out without a decision has not started. The own counts can only
    lower the share of a running roll-out: after the final decision the old
    version may be gone.
    """
    state = states.get(roll_out.name)
    if state is None or state.phase is rollouts.RollOutPhase.STOPPED:
        return 0.0
    if state.phase is rollouts.RollOutPhase.FINISHED:
        return 1.0
    if not 0 <= state.step < len(roll_out.steps):
        return 0.0
    if restraint is not None and restraint.meets_stop(roll_out):
        return 0.0
    return roll_out.steps[state.step].share


def is_exposed(roll_out_name: str, request_id: str, share: float) -> bool:
    """Returns whether the hash of a request falls below the share."""
    text = f"{roll_out_name}\0{request_id}".encode()
    digest = hashlib.sha256(text).digest()
    value = int.from_bytes(digest[:_HASH_BYTES], "big")
    return value < share * _HASH_RANGE
