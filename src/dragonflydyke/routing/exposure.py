"""Share of new work that a rollout sends to the new version."""

import hashlib
from collections.abc import Mapping
from typing import Protocol

from dragonflydyke.configuration import model
from dragonflydyke.rollouts import model as rollouts

_HASH_BYTES = 8
_HASH_RANGE = 1 << (8 * _HASH_BYTES)


class ExposureSuspension(Protocol):
    """Decides whether this node suspends exposure of the new version."""

    def is_suspended(self, roll_out: model.Rollout) -> bool:
        """Returns whether node-local evidence has met the stop condition."""


def compute_exposed_share(
    roll_out: model.Rollout,
    states: Mapping[str, rollouts.RolloutState],
    suspension: ExposureSuspension | None,
) -> float:
    """Returns the share of new work for the new version, 0..1.

    A rollout without a recorded state has not started. Local suspension applies
    to running rollouts only: once a rollout is finished, the old version may
    have been removed.

    Args:
        roll_out: The rollout as configured.
        states: Recorded states by name of the rollout.
        suspension: Local suspension of exposure, None to ignore it.
    """
    state = states.get(roll_out.name)
    if state is None or state.phase is rollouts.RolloutPhase.STOPPED:
        return 0.0
    if state.phase is rollouts.RolloutPhase.FINISHED:
        return 1.0
    if not 0 <= state.step < len(roll_out.steps):
        return 0.0
    if suspension is not None and suspension.is_suspended(roll_out):
        return 0.0
    return roll_out.steps[state.step].share


def is_exposed(roll_out_name: str, request_id: str, share: float) -> bool:
    """Returns whether a request goes to the new version.

    The decision follows from a hash of the rollout and the request id, so that
    all nodes agree on it.

    Args:
        roll_out_name: Name of the rollout.
        request_id: Id of the request.
        share: Share of requests that are exposed, 0..1.
    """
    text = f"{roll_out_name}\0{request_id}".encode()
    digest = hashlib.sha256(text).digest()
    value = int.from_bytes(digest[:_HASH_BYTES], "big")
    return value < share * _HASH_RANGE
