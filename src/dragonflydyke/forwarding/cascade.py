"""Model cascade: selects the model for each attempt of a request; no I/O.

Designed for peaks of requests of which the smallest model answers half with
sufficient quality, while the largest answers all of them at ten times the cost.
Each request is sent to the smallest model first. A response of low confidence
is discarded before any of it reaches the client, and the request is sent to the
largest model. When the largest model exceeds its timeout, fewer responses are
discarded, and a request that waits too long falls back to the smallest model
rather than missing its deadline.
"""

import dataclasses

from dragonflydyke.forwarding import model

# Below this confidence a response is more often wrong than right.
_MIN_CONFIDENCE = 0.5
# Fraction of the target latency after which a request stops waiting for the
# largest model; the rest suffices for the first event of the smallest model.
_WAIT_SHARE = 0.8
_MIN_WAIT_S = 0.2
_SMOOTHING = 0.1
# Fraction of the target latency that must remain to discard a response.
_MIN_REMAINING_SHARE = 0.4


@dataclasses.dataclass(slots=True, frozen=True)
class CascadeState:
    """Attempts and model changes of a request so far.

    Attributes:
        attempts: Attempts that ran.
        fell_back: Whether the largest model exceeded its timeout.
        escalated: Whether the request was sent to the largest model.
    """

    attempts: int = 0
    fell_back: bool = False
    escalated: bool = False


class Cascade:
    """Selects models for the requests of one pool."""

    __slots__ = ("_timeout_share",)

    def __init__(self) -> None:
        self._timeout_share = 0.0

    @property
    def timeout_share(self) -> float:
        """Moving average of the escalations that timed out, 0..1."""
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
        """Returns whether a response is delivered to the client.

        Args:
            route: Route of the request.
            state: State of the request, including this attempt.
            confidence: Confidence that the model reports, 0..1, or None.
            elapsed_s: Seconds since the request arrived.
        """
        if len(route.models) < 2 or confidence is None:
            return True
        if state.escalated or state.fell_back:
            return True
        if state.attempts >= route.max_attempts:
            return True
        remaining_s = route.target_latency_s - elapsed_s
        if remaining_s < route.target_latency_s * _MIN_REMAINING_SHARE:
            return True
        return confidence >= _MIN_CONFIDENCE * (1.0 - self._timeout_share)

    def find_first_event_timeout_s(
        self, route: model.Route, state: CascadeState, elapsed_s: float
    ) -> float | None:
        """Returns the timeout for the first event in seconds, None for none.

        Args:
            route: Route of the request.
            state: State of the request, including this attempt.
            elapsed_s: Seconds since the request arrived.
        """
        if not state.escalated or state.fell_back:
            return None
        if state.attempts >= route.max_attempts:
            return None
        remaining_s = route.target_latency_s * _WAIT_SHARE - elapsed_s
        return max(_MIN_WAIT_S, remaining_s)

    def record_escalation(self, *, timed_out: bool) -> None:
        """Records whether an attempt at the largest model timed out."""
        self._timeout_share += _SMOOTHING * (timed_out - self._timeout_share)
