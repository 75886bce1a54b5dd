"""Urgency of attempts at engines; no I/O.

Designed for peaks at which prompts queue for the prefill of an engine. Attempts
at the smallest model come first: they take a tenth of the time, and half of
them are the final answer. Among escalated requests, short prompts come before
long ones, because a short prompt adds little to the wait of a long one but may
miss its target latency behind it.
"""

import bisect

from dragonflydyke.forwarding import decisions

LOWEST = 9
# Priorities of requests whose client chose the model, above the engines'
# default of 5.
_TOP_PRIORITY_URGENCY = 2
_MAX_SMALLEST_MODEL_URGENCY = 2
_FIRST_ESCALATED_URGENCY = 3
# Upper bounds, in prompt tokens, of the classes of escalated requests.
_PROMPT_TOKEN_CLASSES = (2_500, 6_000, 12_000, 20_000)


def select_urgency(
    admitted: decisions.AdmittedRequest,
    *,
    uses_cascade: bool,
    is_escalated: bool,
    prompt_tokens: int,
) -> int | None:
    """Returns 0 to 9, where 0 is the most urgent, or None for plain servers.

    Args:
        admitted: The request.
        uses_cascade: Whether the router chooses the model.
        is_escalated: Whether the attempt uses the largest model.
        prompt_tokens: Length of the prompt in tokens.
    """
    if not admitted.pool.has_engines:
        return None
    priority = max(0, admitted.priority)
    if not uses_cascade:
        return min(LOWEST, _TOP_PRIORITY_URGENCY + priority)
    if not is_escalated:
        return min(_MAX_SMALLEST_MODEL_URGENCY, priority)
    size_class = bisect.bisect_left(_PROMPT_TOKEN_CLASSES, prompt_tokens)
    return _FIRST_ESCALATED_URGENCY + size_class
