"""Decides when a fallback answer replaces the largest model; no I/O.

A fallback answer is a response of the smallest model with low confidence. It is
held and read on while the largest model is tried. Designed for bursts of
requests that the largest model cannot start, or cannot finish, before their
deadlines: any answer is worth more than none. A late answer of the largest
model is worth more than the fallback answer, which is probably wrong, so an
attempt that may finish before the deadline goes on.
"""

import dataclasses
import enum
import math

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
# A length hint is right at the median and often far off. If its error is
# log-normal with 0.4, an answer whose predicted time exceeds the time left by
# this factor still finishes in 36 of 100 cases. Beyond that, a fallback answer
# is better than the risk of none. An answer with an even chance always goes on.
_FINISH_TOLERANCE = 1.15

# A client gives up a stream without events after the largest of these.
_MIN_PATIENCE_S = 2.0
_PATIENCE_TARGETS = 4.0
_PATIENCE_GAPS = 8.0

# Fraction of a tight target latency for which prompts with looser targets may
# queue while the tight kind meets long queues. The rest is for its prefill.
_MAX_QUEUE_SHARE = 0.6
# Fraction of its target latency from which a queue is long for a kind. The
# looser kinds must hold back before the tight one is declined.
_PRESSURE_SHARE = 0.6
# A node sees one or two escalations a second, of which few have the tightest
# target.
_PRESSURE_S = 10.0

# Engines of one pool differ in speed by about two to one. A request that waits
# for twice the prediction has been overtaken, or its engine is in trouble.
_PREDICTION_FACTOR = 2.0
# Multiple of the target latency after which an unstarted request is reviewed,
# and then again. Queues under peak load are shorter, and each review is a call
# to the engine, which delays its work.
_REVIEW_SHARE = 1.5
# Another engine must promise to begin in this share of the time waited so far,
# which is the best guess of the time that is still to wait.
_MAX_MOVE_SHARE = 0.5


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


@dataclasses.dataclass(slots=True, frozen=True)
class ExpectedRest:
    """What is expected of a held stream.

    Attributes:
        is_complete: Whether it was read to its end.
        rest_s: Predicted seconds until its end.
    """

    is_complete: bool = False
    rest_s: float = 0.0

    def may_finish(self, now_s: float, limits: TimeLimits) -> bool:
        """Returns whether it may end before the deadline."""
        return now_s + self.rest_s / _FINISH_TOLERANCE <= limits.deadline_s


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


class WaitBounds:
    """Bounds the queues that escalated prompts with loose targets may join.

    Reports do not tell the urgency of the requests in a queue. If a kind with a
    loose target filled the queues up to its own bound, one with a tight target
    would be declined, although engines would serve it first. So while prompts
    of a tight kind meet long queues, its bound applies to looser kinds as well.
    """

    __slots__ = ("_pressed_s",)

    def __init__(self) -> None:
        """Creates bounds of a node that has seen no queue."""
        # Loop time of the last long queue by pool and target latency.
        self._pressed_s: dict[str, dict[float, float]] = {}

    def may_wait(
        self, pool: str, target_latency_s: float, wait_s: float, now_s: float
    ) -> bool:
        """Records a queue, and returns whether a prompt may join it.

        Args:
            pool: Pool of the engine.
            target_latency_s: Target latency of the route in seconds.
            wait_s: Predicted time in the queue in seconds.
            now_s: Loop time.
        """
        pressed_s = self._pressed_s.setdefault(pool, {})
        if wait_s > target_latency_s * _PRESSURE_SHARE:
            pressed_s[target_latency_s] = now_s
        for target_s, at_s in list(pressed_s.items()):
            if now_s - at_s > _PRESSURE_S:
                del pressed_s[target_s]
        tightest_s = min(pressed_s, default=target_latency_s)
        if tightest_s >= target_latency_s:
            return True
        return wait_s <= tightest_s * _MAX_QUEUE_SHARE


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


def expect_rest(
    stream: ExpectedStream, event_count: int, *, is_complete: bool
) -> ExpectedRest:
    """Returns what is expected of a held stream.

    Args:
        stream: What was expected of the whole stream.
        event_count: Events that it has so far.
        is_complete: Whether it has ended.
    """
    if is_complete:
        return ExpectedRest(is_complete=True)
    # A stream that is longer than expected has at least one more event.
    events = max(1, (stream.events or 0) - event_count)
    return ExpectedRest(rest_s=events * stream.gap_s)


def find_latest_first_event_s(
    limits: TimeLimits, stream: ExpectedStream, held: ExpectedRest, now_s: float
) -> float:
    """Returns until when the first event of the largest model is worth waiting.

    Afterwards it could not finish before the deadline, the held stream could
    not, or the client would give up before it gets any event.

    Args:
        limits: Limits of the request.
        stream: Response that is expected.
        held: What is expected of the held stream.
        now_s: Loop time.

    Returns:
        The loop time.
    """
    patience_s = limits.patience_end_s - limits.delivery_s
    if not held.may_finish(now_s, limits):
        # Relaying it now would not save the request.
        return patience_s
    rest_s = max(limits.delivery_s + held.rest_s, stream.min_rest_s)
    return min(limits.deadline_s - rest_s, patience_s)


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


def may_go_on(
    now_s: float,
    limits: TimeLimits,
    stream: ExpectedStream,
    held: ExpectedRest,
) -> bool:
    """Returns whether a stream that began is better than the held stream.

    Args:
        now_s: Loop time.
        limits: Limits of the request.
        stream: Response of the largest model, whose first event arrived.
        held: What is expected of the held stream.
    """
    if may_finish(now_s, limits, stream):
        return True
    if held.is_complete or now_s + held.rest_s <= limits.deadline_s:
        return False
    return stream.rest_s <= held.rest_s


class WaitStep(enum.Enum):
    """What happens to a request that its engine has not started."""

    WAIT = "wait"
    MOVE = "move"
    GIVE_UP = "give_up"


@dataclasses.dataclass(slots=True, frozen=True)
class WaitDecision:
    """Step for a request that its engine has not started, and its reason."""

    step: WaitStep
    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class AlternativeEngine:
    """Another engine that could run the request.

    Attributes:
        first_event_s: Predicted seconds until the first event there.
        is_busy: Whether requests queue there.
    """

    first_event_s: float
    is_busy: bool


@dataclasses.dataclass(slots=True, frozen=True)
class UnstartedRequest:
    """A request at an engine that has not started its response.

    Attributes:
        waited_s: Seconds for which it has been there.
        useful_s: Seconds for which it is worth waiting for a first event.
        is_engine_busy: Whether requests queue at the engine, None if the engine
            gives no report.
        alternative: The best other engine, None if there is none, or if no
            other engine was asked.
    """

    waited_s: float
    useful_s: float
    is_engine_busy: bool | None
    alternative: AlternativeEngine | None


def find_review_interval_s(target_latency_s: float) -> float:
    """Returns the time until each review of an unstarted request.

    Args:
        target_latency_s: Target latency of the route in seconds.
    """
    return target_latency_s * _REVIEW_SHARE


def is_overdue(waited_s: float, predicted_s: float | None) -> bool:
    """Returns whether a request waits for so long that others may be better.

    Args:
        waited_s: Seconds for which it has been at its engine.
        predicted_s: Seconds that were predicted, None if unknown.
    """
    return waited_s >= (predicted_s or 0.0) * _PREDICTION_FACTOR


def decide_wait(request: UnstartedRequest) -> WaitDecision:
    """Returns whether an unstarted request waits, moves or is given up.

    A move loses the place in the queue, and at peaks a second run would only
    lengthen the queues, so it needs an engine without one.

    Args:
        request: The request. A move must be possible.
    """
    other = request.alternative
    if (
        other is not None
        and not other.is_busy
        and other.first_event_s <= request.useful_s
        and other.first_event_s <= request.waited_s * _MAX_MOVE_SHARE
    ):
        return WaitDecision(WaitStep.MOVE, "another engine can begin")
    if request.is_engine_busy:
        return WaitDecision(WaitStep.WAIT, "engine is busy")
    if request.is_engine_busy is None:
        return WaitDecision(WaitStep.GIVE_UP, "engine gives no report")
    return WaitDecision(WaitStep.GIVE_UP, "engine is idle")
