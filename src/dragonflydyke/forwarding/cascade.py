"""Choice of the model for each attempt of a request; no I/O.

The load it answers: a wave of requests of which the smallest model answers
half well, while the largest answers all of them at ten times the work. Each
request is asked of the smallest model first; an answer of low confidence is
dropped before the client has any of it and asked of the largest. When the
largest is late, fewer answers are dropped, and a request that waits for it too
long falls back to the smallest rather than missing its deadline.
"""

import dataclasses

from dragonflydyke.forwarding import model

# Below this confidence an answer is more often wrong than right.
_MIN_CONFIDENCE = 0.5
# Part of the target latency after which a request stops waiting for the
# largest model; the rest is enough for the smallest to begin.
_WAIT_SHARE = 0.8
_MIN_WAIT_S = 0.2
_SMOOTHING = 0.1
# Dropping an answer takes this much of the target latency to be worthwhile.
_MIN_REMAINING_SHARE = 0.4


@dataclasses.dataclass(slots=True, frozen=True)
class CascadeState:
    """What a request has used so far.

    Attributes:
        attempts: Attempts that ran.
        fell_back: Whether the largest model was too slow for it.
        escalated: Whether the largest model was asked.
    """

    attempts: int = 0
    fell_back: bool = False
    escalated: bool = False


class Cascade:
    """Chooses models for the requests of one pool."""

    __slots__ = ("_timeout_share",)

    def __init__(self) -> None:
        self._timeout_share = 0.0

    @property
    def timeout_share(self) -> float:
        """Recent part of the requests for which the largest was too slow."""
        return self._timeout_share

    def select_model(self, route: model.Route, state: CascadeState) -> str:
        """Returns the model of the next attempt, empty if there is none."""
        if not route.models:
            return ""
        if state.escalated and not state.fell_back:
            return route.models[-1]
        return route.models[0]

    def is_acceptable(
        self,
        route: model.Route,
        state: CascadeState,
        confidence: float | None,
        elapsed_s: float,
    ) -> bool:
        """Returns whether an answer is delivered.

        Args:
            route: Route of the request.
            state: What the request has used, this attempt included.
            confidence: Model's own opinion of the answer, 0..1.
            elapsed_s: Time since the request arrived.
        """
        if len(route.models) < 2 or confidence is None:
            return True
        if state.escalated or state.fell_back:
            return True
        if state.attempts >= route.max_attempts:
            return True
        left_s = route.target_latency_s - elapsed_s
        if left_s < route.target_latency_s * _MIN_REMAINING_SHARE:
            return True
        return confidence >= _MIN_CONFIDENCE * (1.0 - self._timeout_share)

    def find_first_event_timeout_s(
        self, route: model.Route, state: CascadeState, elapsed_s: float
    ) -> float | None:
        """Returns how long to wait for the first event, None for no bound.

        Args:
            route: Route of the request.
            state: What the request has used, this attempt included.
            elapsed_s: Time since the request arrived.
        """
        if not state.escalated or state.fell_back:
            return None
        if state.attempts >= route.max_attempts:
            return None
        left_s = route.target_latency_s * _WAIT_SHARE - elapsed_s
        return max(_MIN_WAIT_S, left_s)

    def record_escalation(self, *, timed_out: bool) -> None:
        """Counts an attempt at the largest model."""
        self._timeout_share += _SMOOTHING * (timed_out - self._timeout_share)
