"""Decisions on a rollout, from its state and the fleet-wide counts."""

import dataclasses

from dragonflydyke.configuration import model
from dragonflydyke.rollouts import model as rollout_model

_MS_PER_S = 1_000


@dataclasses.dataclass(slots=True, frozen=True)
class VersionSample:
    """Evidence on the new version of a rollout.

    Attributes:
        requests: Number of finished attempts.
        failures: Number of failed attempts.
        ratings: Number of rated responses.
        rating_sum: Sum of the ratings.
        suspended_routers: Number of routers that suspended exposure because
            their newest samples met the stop condition.
    """

    requests: int = 0
    failures: int = 0
    ratings: int = 0
    rating_sum: float = 0.0
    suspended_routers: int = 0

    @property
    def error_share(self) -> float:
        """Share of failed attempts, 0 without attempts."""
        return self.failures / self.requests if self.requests else 0.0

    @property
    def mean_rating(self) -> float | None:
        """Mean rating, 0..1, or None without ratings."""
        return self.rating_sum / self.ratings if self.ratings else None


def find_stop_reason(
    stop: model.StopCondition, sample: VersionSample
) -> str | None:
    """Returns the reason to stop the rollout, or None.

    The reason is stored with the state of the rollout.
    A router that suspended exposure is a reason by itself: it collects no more
    samples, so without a decision the rollout would neither stop nor advance.
    """
    if sample.suspended_routers:
        return (
            f"met by the newest samples of {sample.suspended_routers} routers"
        )
    min_samples = max(stop.min_samples, 1)
    if (
        sample.requests >= min_samples
        and sample.error_share > stop.max_error_share
    ):
        return (
            f"error share {sample.error_share:.3f} over"
            f" {stop.max_error_share} in {sample.requests} requests"
        )
    rating = sample.mean_rating
    if (
        rating is not None
        and sample.ratings >= min_samples
        and rating < stop.min_rating
    ):
        return (
            f"mean rating {rating:.3f} under {stop.min_rating}"
            f" in {sample.ratings} ratings"
        )
    return None


def decide_next_state(
    roll_out: model.Rollout,
    state: rollout_model.RolloutState,
    sample: VersionSample,
    now_ms: int,
) -> rollout_model.RolloutState | None:
    """Returns the next state of a rollout, or None if it does not change.

    A rollout advances only when the step has lasted for its `hold_s` and there
    are enough ratings, so that it stays at its step while the rating service is
    unavailable.

    Args:
        roll_out: The rollout as configured.
        state: Its state in force.
        sample: Fleet-wide evidence on the new version.
        now_ms: Unix time in milliseconds.
    """
    if state.phase is not rollout_model.RolloutPhase.RUNNING:
        return None
    reason = find_stop_reason(roll_out.stop, sample)
    if reason is not None:
        return dataclasses.replace(
            state,
            phase=rollout_model.RolloutPhase.STOPPED,
            since_ms=now_ms,
            reason=reason,
        )
    step = roll_out.steps[min(state.step, len(roll_out.steps) - 1)]
    time_in_step_s = (now_ms - state.since_ms) / _MS_PER_S
    if (
        time_in_step_s < step.hold_s
        or sample.ratings < roll_out.stop.min_samples
    ):
        return None
    if state.step + 1 < len(roll_out.steps):
        return dataclasses.replace(state, step=state.step + 1, since_ms=now_ms)
    return dataclasses.replace(
        state,
        phase=rollout_model.RolloutPhase.FINISHED,
        since_ms=now_ms,
    )
