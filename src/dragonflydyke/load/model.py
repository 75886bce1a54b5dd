"""Arrivals of a schedule and the recorded outcomes of their requests."""

import dataclasses

COMPLETED = "completed"


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """One request of a schedule.

    Attributes:
        at_s: Intended start, in seconds from the start of the run.
        request_class: Class of the request.
        model: Model, version or cascade of a chat completion; the path below
            `/v1/services/` for a service call.
        prompt: Text of the prompt.
        max_tokens: Limit of completion tokens.
        account_index: Index of the client account among the configured keys.
        is_call: Whether it is a service call rather than a chat completion.
    """

    at_s: float
    request_class: str
    model: str
    prompt: str = ""
    max_tokens: int = 32
    account_index: int = 0
    is_call: bool = False


@dataclasses.dataclass(slots=True)
class RequestRecord:
    """Outcome and latencies of one request; times are in seconds.

    Attributes:
        request_class: Class of the request.
        intended_s: Intended start, from the start of the run.
        sent_s: Actual start, from the start of the run.
        first_token_s: Time from the intended start to the first token, None
            without one.
        total_s: Time from the intended start to the end of the response.
        answer_s: Time from the actual start to the end of the response; the
            latency of a rejection.
        version: Version that served the request.
        cost: Billed cost in micro-units of currency.
        outcome: `completed`, or the error code.
        execution: Execution status that the error states; empty if completed.
        target: Index of the router to which the request was sent.
        answer: Text of the completion, if the sender keeps it.
        rating: Rating of the completion, None if it was not rated.
    """

    request_class: str
    intended_s: float
    sent_s: float = 0.0
    first_token_s: float | None = None
    total_s: float = 0.0
    answer_s: float = 0.0
    version: str = ""
    cost: int = 0
    outcome: str = ""
    execution: str = ""
    target: int = 0
    answer: str = ""
    rating: float | None = None

    @property
    def is_completed(self) -> bool:
        """Whether the client received the complete response."""
        return self.outcome == COMPLETED
