"""Decides when a fallback answer replaces the largest model; no I/O.

A fallback answer is a complete response of the smallest model with low
confidence. Designed for bursts of requests that the largest model cannot start,
or cannot finish, before their deadlines: any answer is worth more than none. A
late answer of the largest model is worth more than the fallback answer, which
is probably wrong, so an attempt that may finish before the deadline goes on.
"""

import dataclasses
import math

# Prefill time of the largest model per prompt token in seconds.
_PREFILL_S_PER_TOKEN = 60e-6
# Time of an output token of the largest model on an idle engine; it grows to
# 23 ms with the batch. A prior that is too low costs one late answer until the
# first gap is observed. One that is too high would decline escalations, after
# which no gap is observed.
_OUTPUT_TOKEN_S = 0.010
# Batches change within seconds, so older gaps say little about the next ones.
_MAX_GAP_AGE_S = 10.0
_GAP_WEIGHT = 0.2
# One stalled stream may not decide for those that follow.
_MAX_GAP_RATIO = 4.0

# Time in which a fallback answer of some kilobytes reaches its client from a
# node that is busy.
_DELIVERY_S = 0.3
# Requests with short deadlines use most of their time for attempts.
_MAX_DELIVERY_SHARE = 0.2
# A length hint is right at the median, and half of the hints are off by a fifth
# or more. Up to this ratio of the predicted time to the time left, about a
# third of the answers still finish, which is worth more than a fallback answer
# that is wrong in most cases.
_FINISH_TOLERANCE = 1.25

# A client gives up a stream without events after the largest of these.
_MIN_PATIENCE_S = 2.0
_PATIENCE_TARGETS = 4.0
_PATIENCE_GAPS = 8.0

# The response of the smallest model takes some tenths of a second. Reading it
# costs nothing while the largest model can still begin in time.
_MIN_READING_S = 0.5
_MAX_READING_SHARE = 0.5
_TARGET_SHARE = 0.9


@dataclasses.dataclass(slots=True, frozen=True)
class TimeLimits:
    """Times that bound a request.

    Attributes:
        received_s: Loop time at which the request was received.
        deadline_s: Loop time by which the response must be complete; no later
            than the timeout of the route.
        target_latency_s: Target latency of the route in seconds.
        max_event_gap_s: Target for the longest inter-event gap, 0 for none.
    """

    received_s: float
    deadline_s: float
    target_latency_s: float
    max_event_gap_s: float = 0.0

    @property
    def patience_end_s(self) -> float:
        """Loop time at which the client gives up a stream without events."""
        return self.received_s + max(
            _MIN_PATIENCE_S,
            _PATIENCE_TARGETS * self.target_latency_s,
            _PATIENCE_GAPS * self.max_event_gap_s,
        )

    @property
    def delivery_s(self) -> float:
        """Seconds that are kept for the delivery of a fallback answer."""
        total_s = max(0.0, self.deadline_s - self.received_s)
        return min(_DELIVERY_S, total_s * _MAX_DELIVERY_SHARE)


@dataclasses.dataclass(slots=True, frozen=True)
class ExpectedStream:
    """What is known of a response of the largest model before it is read.

    Attributes:
        events: Expected number of events, None if unknown.
        gap_s: Expected inter-event gap in seconds.
    """

    events: int | None
    gap_s: float

    @property
    def rest_s(self) -> float:
        """Expected seconds from the first event to the last, 0 if unknown."""
        return max(0, (self.events or 0) - 1) * self.gap_s

    @property
    def min_rest_s(self) -> float:
        """Seconds that the rest takes at least, with a fair chance."""
        return self.rest_s / _FINISH_TOLERANCE


@dataclasses.dataclass(slots=True)
class _ObservedGap:
    gap_s: float
    observed_s: float


class Pace:
    """Speed of the models in the pools of this node, as far as observed."""

    __slots__ = ("_gaps",)

    def __init__(self) -> None:
        """Creates a pace without observations."""
        self._gaps: dict[tuple[str, str], _ObservedGap] = {}

    def observe_gap(
        self, pool: str, model_name: str, gap_s: float, now_s: float
    ) -> None:
        """Records the mean gap of some events of a stream.

        Args:
            pool: Pool of the engine.
            model_name: Model that produced the events.
            gap_s: The gap in seconds.
            now_s: Loop time.
        """
        known = self._gaps.get((pool, model_name))
        if known is None:
            self._gaps[pool, model_name] = _ObservedGap(gap_s, now_s)
            return
        gap_s = min(gap_s, known.gap_s * _MAX_GAP_RATIO)
        known.gap_s += (gap_s - known.gap_s) * _GAP_WEIGHT
        known.observed_s = now_s

    def find_gap_s(
        self, pool: str, model_name: str, tokens_per_event: int, now_s: float
    ) -> float:
        """Returns the expected gap between two events of a stream.

        Args:
            pool: Pool of the engine.
            model_name: Model that produces the events.
            tokens_per_event: Output tokens of an event.
            now_s: Loop time.
        """
        prior_s = tokens_per_event * _OUTPUT_TOKEN_S
        known = self._gaps.get((pool, model_name))
        if known is None:
            return prior_s
        if now_s - known.observed_s > _MAX_GAP_AGE_S:
            # A slow period may have ended. Without this, its gaps could
            # decline all escalations, and no other gap would be observed.
            return min(prior_s, known.gap_s)
        return known.gap_s


def predict_prefill_s(prompt_tokens: int) -> float:
    """Returns the time that the largest model takes to prefill a prompt."""
    return prompt_tokens * _PREFILL_S_PER_TOKEN


def estimate_events(
    length_hint: int, max_output_tokens: int, tokens_per_event: int
) -> int | None:
    """Returns the expected number of events, None if unknown.

    Args:
        length_hint: Output tokens that the client expects, 0 if unknown.
        max_output_tokens: Maximum number of output tokens, 0 if unknown.
        tokens_per_event: Output tokens of an event, 0 if unknown.
    """
    tokens = length_hint or max_output_tokens
    if max_output_tokens:
        tokens = min(tokens, max_output_tokens)
    if not tokens or tokens_per_event <= 0:
        return None
    return math.ceil(tokens / tokens_per_event)


def find_latest_first_event_s(
    limits: TimeLimits, stream: ExpectedStream
) -> float:
    """Returns until when the first event of the largest model is worth waiting.

    Afterwards it could not finish before the deadline, or the client would give
    up before it gets any event. The fallback answer still reaches the client.

    Args:
        limits: Limits of the request.
        stream: Response that is expected.

    Returns:
        The loop time.
    """
    rest_s = max(limits.delivery_s, stream.min_rest_s)
    return min(
        limits.deadline_s - rest_s, limits.patience_end_s - limits.delivery_s
    )


def may_finish(
    now_s: float, limits: TimeLimits, stream: ExpectedStream
) -> bool:
    """Returns whether a stream whose first event arrived may finish in time.

    Args:
        now_s: Loop time.
        limits: Limits of the request.
        stream: Response that is expected.
    """
    return now_s + stream.min_rest_s <= limits.deadline_s


def find_reading_end_s(
    started_s: float, first_event_s: float, limits: TimeLimits
) -> float:
    """Returns until when the fallback answer may delay an escalation.

    Args:
        started_s: Loop time at which the response of the smallest model began.
        first_event_s: Loop time at which the largest model is predicted to
            begin if the escalation starts now.
        limits: Limits of the request.

    Returns:
        The loop time.
    """
    target_s = limits.received_s + limits.target_latency_s * _TARGET_SHARE
    slack_s = max(0.0, target_s - first_event_s)
    reading_s = min(slack_s, limits.target_latency_s * _MAX_READING_SHARE)
    return started_s + max(_MIN_READING_S, reading_s)
