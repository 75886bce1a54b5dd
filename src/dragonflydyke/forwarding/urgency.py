"""Urgency of attempts at engines; no I/O.

Designed for peaks at which prompts queue for the prefill of an engine. Attempts
at the smallest model come first: they take a tenth of the time, and half of
them are the final answer. Among escalated requests, short prompts come before
long ones, because a short prompt adds little to the wait of a long one but may
miss its target latency behind it. A long prompt would wait for as long as
shorter ones arrive, so it ranks one class higher once most of its target
latency is over, and another class higher if it is sent again. As an attempt
keeps its rank in the queue of its engine, that does not help a prompt that
waits there: every second one therefore ranks no lower than a middle class.
"""

import bisect

from dragonflydyke.forwarding import decisions, model

LOWEST = 9
# Priorities of requests whose client chose the model, above the engines'
# default of 5.
_TOP_PRIORITY_URGENCY = 2
_MAX_SMALLEST_MODEL_URGENCY = 2
_FIRST_ESCALATED_URGENCY = 3
# Upper bounds, in prompt tokens, of the classes of escalated requests.
_PROMPT_TOKEN_CLASSES = (2_500, 6_000, 12_000, 20_000)
# Fraction of the target latency that is most of it.
_LATE_SHARE = 0.5
# Share of the requests that rank no lower than the class of `_FAIR_SIZE_CLASS`.
_FAIR_SHARE = 0.5
_FAIR_SIZE_CLASS = 2


def select_urgency(
    admitted: decisions.AdmittedRequest,
    request_id: str,
    *,
    uses_cascade: bool,
    is_escalated: bool,
    is_repeated: bool,
    prompt_tokens: int,
    used_share: float,
) -> int | None:
    """Returns 0 to 9, where 0 is the most urgent, or None for plain servers.

    Args:
        admitted: The request.
        request_id: Its id, which decides whether its size counts in full.
        uses_cascade: Whether the router chooses the model.
        is_escalated: Whether the attempt uses the largest model.
        is_repeated: Whether the largest model was tried before.
        prompt_tokens: Length of the prompt in tokens.
        used_share: Fraction of the target latency that is over.
    """
    if not admitted.pool.has_engines:
        return None
    priority = max(0, admitted.priority)
    if not uses_cascade:
        return min(LOWEST, _TOP_PRIORITY_URGENCY + priority)
    if not is_escalated:
        return min(_MAX_SMALLEST_MODEL_URGENCY, priority)
    size_class = bisect.bisect_left(_PROMPT_TOKEN_CLASSES, prompt_tokens)
    if model.hash_fraction(request_id) < _FAIR_SHARE:
        size_class = min(size_class, _FAIR_SIZE_CLASS)
    raised_classes = is_repeated + (used_share > _LATE_SHARE)
    return _FIRST_ESCALATED_URGENCY + max(0, size_class - raised_classes)
