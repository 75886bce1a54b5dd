"""Arrivals of a schedule and the records of what came of them."""

import dataclasses

COMPLETED = "completed"


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """One request of a schedule.

    Attributes:
        at_s: Intended start, in seconds from the start of the run.
        request_class: Class that the request names.
        model: Model, version or cascade that it names; the path below
            `/v1/services/` for a service call.
        prompt: Text of the prompt.
        max_tokens: Bound on completion tokens.
        account: Index of the client account among the given keys.
        is_call: Whether it is a service call and no chat completion.
    """

    at_s: float
    request_class: str
    model: str
    prompt: str = ""
    max_tokens: int = 32
    account: int = 0
    is_call: bool = False


@dataclasses.dataclass(slots=True)
class Record:
    """What came of an arrival; times are in seconds.

    Attributes:
        request_class: Class of the request.
        intended_s: Intended start, from the start of the run.
        sent_s: When it was sent, from the start of the run.
        first_token_s: Intended start to the first token, None without one.
        total_s: Intended start to the end.
        answer_s: Sending to the end; how fast a refusal was answered.
        version: Version that answered.
        cost: Billed cost in micro-units of currency.
        outcome: `completed` or the code of the error.
        execution: Execution that the error states, empty if completed.
        target: Index of the router that it was sent to.
        answer: Text of the answer, if the player keeps answers.
        rating: Rating of the answer, if it was rated.
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
        """Whether the caller got the complete answer."""
        return self.outcome == COMPLETED
