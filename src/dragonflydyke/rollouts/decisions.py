"""What to do with a roll-out, from its state and what was counted."""

import dataclasses

from dragonflydyke.configuration import model
from dragonflydyke.rollouts import model as rollout_model

_MILLISECONDS_PER_S = 1_000


@dataclasses.dataclass(slots=True, frozen=True)
class VersionSample:
    """What the fleet has seen of the new version of a roll-out.

    Attributes:
        requests: Attempts that ended.
        failures: Attempts that failed.
        ratings: Answers that were rated.
        rating_sum: Sum of the ratings.
        restrained: Routers whose newest samples met the stop condition.
    """

    requests: int = 0
    failures: int = 0
    ratings: int = 0
    rating_sum: float = 0.0
    restrained: int = 0

    @property
    def error_share(self) -> float:
        """Share of failed requests, 0 without requests."""
        return self.failures / self.requests if self.requests else 0.0

    @property
    def mean_rating(self) -> float | None:
        """Mean rating, 0..1, or None without ratings."""
        return self.rating_sum / self.ratings if self.ratings else None


def find_stop_reason(
    stop: model.StopCondition, sample: VersionSample
) -> str | None:
    """Returns why the sample calls for a stop, or None.

    A router that restrained itself is a reason: it takes no more samples, so
    without a decision the roll-out would neither stop nor go on.
    """
    if sample.restrained:
        return f"met by the newest samples of {sample.restrained} routers"
    minimum = max(stop.min_samples, 1)
    if sample.requests >= minimum and sample.error_share > stop.max_error_share:
        return (
            f"error share {sample.error_share:.3f} over"
            f" {stop.max_error_share} in {sample.requests} requests"
        )
    rating = sample.mean_rating
    if (
        rating is not None
        and sample.ratings >= minimum
        and rating < stop.min_rating
    ):
        return (
            f"mean rating {rating:.3f} under {stop.min_rating}"
            f" in {sample.ratings} ratings"
        )
    return None


def decide(
    roll_out: model.Rollout,
    state: rollout_model.RollOutState,
    sample: VersionSample,
    now_ms: int,
) -> rollout_model.RollOutState | None:
    """Returns the next state of a running roll-out, or None to leave it.

    A step is left only after its holding time and with enough ratings, so that
    a missing rating service holds the roll-out where it is.

    Args:
        roll_out: The roll-out as configured.
        state: Its state in force.
        sample: Fleet-wide counts of the new version.
        now_ms: Unix time in milliseconds.
    """
    if state.phase is not rollout_model.RollOutPhase.RUNNING:
        return None
    reason = find_stop_reason(roll_out.stop, sample)
    if reason is not None:
        return dataclasses.replace(
            state,
            phase=rollout_model.RollOutPhase.STOPPED,
            since_ms=now_ms,
            reason=reason,
        )
    step = roll_out.steps[min(state.step, len(roll_out.steps) - 1)]
    held_s = (now_ms - state.since_ms) / _MILLISECONDS_PER_S
    if held_s < step.hold_s or sample.ratings < roll_out.stop.min_samples:
        return None
    if state.step + 1 < len(roll_out.steps):
        return dataclasses.replace(state, step=state.step + 1, since_ms=now_ms)
    return dataclasses.replace(
        state,
        phase=rollout_model.RollOutPhase.FINISHED,
        since_ms=now_ms,
    )
