"""Model cascade: selects the model for each attempt of a request; no I/O.

Designed for peaks of requests of which the smallest model answers half with
sufficient quality, while the largest answers all of them at ten times the cost.
Each request is sent to the smallest model first. A response of low confidence
is almost always wrong, so it is held back before any of it reaches the client,
and the request is sent to the largest model. A late answer of the largest model
is worth more than a punctual one of the smallest that is wrong, so the held
response is delivered only in place of a failure. Without a held response, the
request returns to the smallest model if no other engine can run the largest.
"""

import dataclasses

from dragonflydyke.forwarding import model

# Below this confidence a response is more often wrong than right.
_MIN_CONFIDENCE = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class CascadeState:
    """Attempts and model changes of a request so far.

    Attributes:
        attempts: Attempts that ran, including the current one.
        fell_back: Whether the request returned to the smallest model.
        escalated: Whether the request was sent to the largest model.
        repeats_largest: Whether an attempt at the largest model has failed.
    """

    attempts: int = 0
    fell_back: bool = False
    escalated: bool = False
    repeats_largest: bool = False

    @property
    def needs_largest_model(self) -> bool:
        """Whether the next attempt uses the largest model."""
        return self.escalated and not self.fell_back


def select_model(route: model.Route, state: CascadeState) -> str:
    """Returns the model of the next attempt, empty if there is none."""
    if not route.models:
        return ""
    if state.needs_largest_model:
        return route.models[-1]
    return route.models[0]


def is_acceptable(
    route: model.Route, state: CascadeState, confidence: float | None
) -> bool:
    """Returns whether a response is delivered without trying a larger model.

    A request that may run only once is never sent again, so its first response
    is acceptable in all cases.

    Args:
        route: Route of the request.
        state: State of the request, including this attempt.
        confidence: Confidence that the model reports, 0..1, or None.
    """
    if len(route.models) < 2 or confidence is None:
        return True
    if state.escalated or not route.is_retryable:
        return True
    if state.attempts >= route.max_attempts:
        return True
    return confidence >= _MIN_CONFIDENCE
