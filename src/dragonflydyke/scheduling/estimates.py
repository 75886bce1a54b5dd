"""Work of a request, what was observed of it, and what is predicted; no I/O."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class WorkKey:
    """What shares learned costs: a pool and one of its models."""

    pool: str
    model: str


@dataclasses.dataclass(slots=True, frozen=True)
class Work:
    """Work of one request at an engine.

    Attributes:
        prompt_tokens: Length of the prompt.
        cached_tokens: Prompt tokens that are expected in the engine's cache.
        output_tokens: Expected output tokens.
    """

    prompt_tokens: int
    cached_tokens: int
    output_tokens: int

    @property
    def prefill_tokens(self) -> int:
        """Prompt tokens that the engine has to prefill."""
        return max(0, self.prompt_tokens - self.cached_tokens)


@dataclasses.dataclass(slots=True, frozen=True)
class Observation:
    """What one attempt at an engine took.

    Attributes:
        first_event_s: Seconds from sending to the first event, None if there
            was no event.
        prompt_tokens: Length of the prompt.
        cached_tokens: Prompt tokens that were expected in the engine's cache.
        queued: Requests whose prefill was not finished when the attempt was
            planned, None without a load report.
        running: Running requests at that time, None without a load report.
        event_gap_s: Mean seconds between events, None if that is not known.
        events: Number of events.
    """

    first_event_s: float | None
    prompt_tokens: int
    cached_tokens: int
    queued: int | None
    running: int | None
    event_gap_s: float | None
    events: int


@dataclasses.dataclass(slots=True, frozen=True)
class Estimate:
    """Predicted times of a request, in seconds from its dispatch.

    Attributes:
        wait_s: Seconds in the queue of the engine.
        first_event_s: Seconds until the first event, including the wait.
        finish_s: Seconds until the last event.
        samples: Observations that the prediction is based on, 0 if it uses
            only the priors.
    """

    wait_s: float
    first_event_s: float
    finish_s: float
    samples: int


@dataclasses.dataclass(slots=True, frozen=True)
class PoolWork:
    """What the configuration says about the work of a pool.

    Attributes:
        pool: Name of the pool.
        models: Models of the pool, smallest first.
        tokens_per_event: Output tokens in one event, 0 if not configured. Costs
            of engines are learned only where it is.
    """

    pool: str
    models: tuple[str, ...] = ()
    tokens_per_event: int = 0
