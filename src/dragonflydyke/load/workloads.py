"""Seeded schedules of the workloads of both users."""

import dataclasses
import random
from collections.abc import Callable, Sequence

from dragonflydyke.load import model

# The rate rises tenfold within this time, as at the start of a shift.
_RISE_S = 2.0
_CREST_FACTOR = 10.0
_CREST_START_SHARE = 0.25


@dataclasses.dataclass(slots=True, frozen=True)
class Kind:
    """A kind of request and its share of a mix.

    Attributes:
        share: Weight of the kind in the mix.
        request_class: Class of the requests.
        model: Model, cascade, or service and operation.
        prompt_tokens: Length of the prompt.
        max_tokens: Bound on completion tokens.
        is_call: Whether it is a service call.
    """

    share: float
    request_class: str
    model: str
    prompt_tokens: int
    max_tokens: int
    is_call: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Workload:
    """A mix of kinds whose rate may rise during the run."""

    kinds: tuple[Kind, ...]
    has_crest: bool = False


WORKLOADS = {
    # Line questions at the start of a shift, over catalogue rebuilds that
    # the night shift left.
    "shift_start": Workload(
        (
            Kind(0.96, "line_question", "planner-small", 60, 16),
            Kind(0.04, "catalogue_rebuild", "planner-large", 600, 600),
        ),
        has_crest=True,
    ),
    "line_questions": Workload(
        (Kind(1.0, "line_question", "planner-small", 60, 16),)
    ),
    "short_among_long": Workload(
        (
            Kind(0.6, "line_question", "planner-small", 60, 16),
            Kind(0.33, "substitution_check", "planner-small", 80, 16),
            Kind(0.07, "catalogue_rebuild", "planner-large", 600, 600),
        )
    ),
    # The answers of a cascade are rated before the caller sees them.
    "cascade_mix": Workload(
        (
            Kind(0.5, "line_question", "planning", 60, 16),
            Kind(0.4, "substitution_check", "planning", 80, 16),
            Kind(0.1, "catalogue_rebuild", "planning", 600, 200),
        )
    ),
    "office_mix": Workload(
        (
            Kind(0.3, "stock_lookup", "stock/lookup", 0, 0, is_call=True),
            Kind(0.35, "quote_summary", "quotes", 200, 32),
            Kind(0.2, "booking_confirmation", "quotes", 40, 16),
            Kind(0.15, "survey_draft", "quotes", 400, 200),
        )
    ),
}


def build_schedule(
    workload: Workload,
    *,
    rate: float,
    duration_s: float,
    seed: int,
    accounts: int = 1,
) -> list[model.Arrival]:
    """Returns the arrivals of a Poisson process in order of time.

    Args:
        workload: Mix of requests and shape of the rate.
        rate: Requests per second at the start.
        duration_s: Length of the schedule.
        seed: The same seed gives the same schedule.
        accounts: Number of client accounts that send.
    """
    source = random.Random(seed)
    top = rate * (_CREST_FACTOR if workload.has_crest else 1.0)
    shape = _crest_shape(duration_s) if workload.has_crest else None
    arrivals = []
    at_s = 0.0
    while (at_s := at_s + source.expovariate(top)) < duration_s:
        # Thinning turns the process at the highest rate into a varying one.
        if shape and source.random() * _CREST_FACTOR > shape(at_s):
            continue
        arrivals.append(_build_arrival(workload.kinds, at_s, source, accounts))
    return arrivals


def _crest_shape(duration_s: float) -> Callable[[float], float]:
    start_s = duration_s * _CREST_START_SHARE

    def shape(at_s: float) -> float:
        risen = min(max(0.0, at_s - start_s) / _RISE_S, 1.0)
        return 1.0 + (_CREST_FACTOR - 1.0) * risen

    return shape


def _build_arrival(
    kinds: Sequence[Kind], at_s: float, source: random.Random, accounts: int
) -> model.Arrival:
    kind = source.choices(kinds, [entry.share for entry in kinds])[0]
    # A number at the front keeps the prefix cache from hitting.
    number = source.randrange(1_000_000)
    return model.Arrival(
        at_s=at_s,
        request_class=kind.request_class,
        model=kind.model,
        prompt=f"{number:07d} " + "box " * max(0, kind.prompt_tokens - 2),
        max_tokens=kind.max_tokens,
        account=source.randrange(accounts),
        is_call=kind.is_call,
    )
