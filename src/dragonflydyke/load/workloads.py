"""Workloads of the two users of the product, as seeded schedules."""

import dataclasses
import random
from collections.abc import Callable, Sequence

from dragonflydyke.load import model

# Ramp-up time of the tenfold rate at the start of a shift.
_RAMP_UP_S = 2.0
_PEAK_FACTOR = 10.0
_PEAK_START_SHARE = 0.25


@dataclasses.dataclass(slots=True, frozen=True)
class RequestTemplate:
    """Properties of one kind of request and its weight in a mix.

    Attributes:
        weight: Relative frequency in the mix.
        request_class: Class of the requests.
        model: Model, cascade, or `service/operation`.
        prompt_tokens: Length of the prompt in tokens.
        max_tokens: Limit of completion tokens.
        is_call: Whether it is a service call.
    """

    weight: float
    request_class: str
    model: str
    prompt_tokens: int
    max_tokens: int
    is_call: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Workload:
    """A mix of requests, optionally with a tenfold peak rate.

    Attributes:
        templates: Kinds of requests.
        has_peak: Whether the rate rises tenfold after a quarter of the run.
    """

    templates: tuple[RequestTemplate, ...]
    has_peak: bool = False


WORKLOADS = {
    # Line questions at the start of a shift, while catalogue rebuilds of the
    # night shift are still running.
    "shift_start": Workload(
        (
            RequestTemplate(0.96, "line_question", "planner-small", 60, 16),
            RequestTemplate(
                0.04, "catalogue_rebuild", "planner-large", 600, 600
            ),
        ),
        has_peak=True,
    ),
    "line_questions": Workload(
        (RequestTemplate(1.0, "line_question", "planner-small", 60, 16),)
    ),
    "short_among_long": Workload(
        (
            RequestTemplate(0.6, "line_question", "planner-small", 60, 16),
            RequestTemplate(
                0.33, "substitution_check", "planner-small", 80, 16
            ),
            RequestTemplate(
                0.07, "catalogue_rebuild", "planner-large", 600, 600
            ),
        )
    ),
    # Answers of a cascade are rated before they are sent to the client.
    "cascade_mix": Workload(
        (
            RequestTemplate(0.5, "line_question", "planning", 60, 16),
            RequestTemplate(0.4, "substitution_check", "planning", 80, 16),
            RequestTemplate(0.1, "catalogue_rebuild", "planning", 600, 200),
        )
    ),
    "office_mix": Workload(
        (
            RequestTemplate(
                0.3, "stock_lookup", "stock/lookup", 0, 0, is_call=True
            ),
            RequestTemplate(0.35, "quote_summary", "quotes", 200, 32),
            RequestTemplate(0.2, "booking_confirmation", "quotes", 40, 16),
            RequestTemplate(0.15, "survey_draft", "quotes", 400, 200),
        )
    ),
}


def build_schedule(
    workload: Workload,
    *,
    rate: float,
    duration_s: float,
    seed: int,
    account_count: int = 1,
) -> list[model.Arrival]:
    """Returns the arrivals of a Poisson process, ordered by time.

    Args:
        workload: Mix of requests and profile of the rate.
        rate: Requests per second at the start.
        duration_s: Length of the schedule in seconds.
        seed: Seed of the random generator; determines the schedule.
        account_count: Number of client accounts.
    """
    generator = random.Random(seed)
    peak_rate = rate * (_PEAK_FACTOR if workload.has_peak else 1.0)
    rate_factor_at = (
        _build_peak_profile(duration_s) if workload.has_peak else None
    )
    arrivals = []
    at_s = 0.0
    while (at_s := at_s + generator.expovariate(peak_rate)) < duration_s:
        # Thinning a process of the peak rate gives the varying rate.
        if (
            rate_factor_at
            and generator.random() * _PEAK_FACTOR > rate_factor_at(at_s)
        ):
            continue
        arrivals.append(
            _build_arrival(workload.templates, at_s, generator, account_count)
        )
    return arrivals


def _build_peak_profile(duration_s: float) -> Callable[[float], float]:
    start_s = duration_s * _PEAK_START_SHARE

    def rate_factor_at(at_s: float) -> float:
        ramp_fraction = min(max(0.0, at_s - start_s) / _RAMP_UP_S, 1.0)
        return 1.0 + (_PEAK_FACTOR - 1.0) * ramp_fraction

    return rate_factor_at


def _build_arrival(
    templates: Sequence[RequestTemplate],
    at_s: float,
    generator: random.Random,
    account_count: int,
) -> model.Arrival:
    template = generator.choices(
        templates, [entry.weight for entry in templates]
    )[0]
    # A random number at the start of the prompt avoids prefix cache hits.
    number = generator.randrange(1_000_000)
    return model.Arrival(
        at_s=at_s,
        request_class=template.request_class,
        model=template.model,
        prompt=f"{number:07d} " + "box " * max(0, template.prompt_tokens - 2),
        max_tokens=template.max_tokens,
        account_index=generator.randrange(account_count),
        is_call=template.is_call,
    )
