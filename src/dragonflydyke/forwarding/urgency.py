"""Urgency of attempts at engines; no I/O.

Designed for bursts in which prompts queue for the prefill of an engine for
longer than their target latency. Attempts at the smallest model come first:
they take a tenth of the time, and half of them are the final answer. Escalated
requests are ranked by the time for which their prefill may still wait. A rank
by size would keep the longest prompts of a kind waiting for as long as shorter
ones arrive, and a rank by arrival would let a kind with a loose target delay
one with a tight target beyond use.
"""

import bisect

from dragonflydyke.forwarding import decisions

LOWEST = 9
# Priorities of requests whose client chose the model, above the engines'
# default of 5.
_TOP_PRIORITY_URGENCY = 2
_MAX_SMALLEST_MODEL_URGENCY = 2
_FIRST_ESCALATED_URGENCY = 3
# Upper bounds, in seconds, of the classes of escalated requests. Each class is
# twice as wide as the one before, so that most requests of a kind share one or
# two classes, in which the engine serves them by arrival.
_SLACK_CLASSES_S = (0.25, 0.5, 1.0, 2.0, 4.0, 8.0)
# A repeated attempt has lost its place in a queue.
_REPEATED_CLASSES = 2


def select_urgency(
    admitted: decisions.AdmittedRequest,
    *,
    uses_cascade: bool,
    is_escalated: bool,
    is_repeated: bool,
    slack_s: float,
) -> int | None:
    """Returns 0 to 9, where 0 is the most urgent, or None for plain servers.

    Args:
        admitted: The request.
        uses_cascade: Whether the router chooses the model.
        is_escalated: Whether the attempt uses the largest model.
        is_repeated: Whether the largest model was tried before.
        slack_s: Seconds until the target latency, minus the predicted prefill.
    """
    if not admitted.pool.has_engines:
        return None
    priority = max(0, admitted.priority)
    if not uses_cascade:
        return min(LOWEST, _TOP_PRIORITY_URGENCY + priority)
    if not is_escalated:
        return min(_MAX_SMALLEST_MODEL_URGENCY, priority)
    slack_class = bisect.bisect_left(_SLACK_CLASSES_S, slack_s)
    if is_repeated:
        slack_class = max(0, slack_class - _REPEATED_CLASSES)
    return _FIRST_ESCALATED_URGENCY + slack_class
