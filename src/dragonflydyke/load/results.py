"""Summaries of recorded requests, as JSON and as a Markdown table."""

import dataclasses
import json
import pathlib
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Any

from hdrh import histogram

from dragonflydyke.load import model

_US_PER_S = 1_000_000
_US_PER_MS = 1_000
_MAX_TRACKABLE_US = 3_600 * _US_PER_S
_SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 95.0, 99.0)


def build_histogram(seconds: Iterable[float]) -> histogram.HdrHistogram:
    """Returns an HDR histogram in microseconds of times in seconds."""
    latencies = histogram.HdrHistogram(
        1, _MAX_TRACKABLE_US, _SIGNIFICANT_DIGITS
    )
    for value in seconds:
        latencies.record_value(
            min(max(1, int(value * _US_PER_S)), _MAX_TRACKABLE_US)
        )
    return latencies


def compute_percentiles_ms(seconds: Iterable[float]) -> tuple[float, ...]:
    """Returns p50, p95 and p99 in milliseconds; zeros without values."""
    latencies = build_histogram(seconds)
    return tuple(
        latencies.get_value_at_percentile(p) / _US_PER_MS for p in PERCENTILES
    )


@dataclasses.dataclass(slots=True, frozen=True)
class Summary:
    """Summary of one request class.

    Times are p50, p95 and p99 in milliseconds.

    Attributes:
        request_class: Name of the class, or `all`.
        sent: Number of requests.
        completed: Number of completed requests.
        first_token_ms: Time to the first token of completed requests.
        total_ms: Total time of completed requests.
        refusal_ms: Latency of rejections.
        cost: Billed cost in micro-units of currency.
        outcomes: Number of requests by outcome.
    """

    request_class: str
    sent: int
    completed: int
    first_token_ms: tuple[float, ...]
    total_ms: tuple[float, ...]
    refusal_ms: tuple[float, ...]
    cost: int
    outcomes: dict[str, int]


def summarize(
    records: Sequence[model.RequestRecord], request_class: str
) -> Summary:
    """Summarizes all given records under one class name."""
    completed = [r for r in records if r.is_completed]
    return Summary(
        request_class=request_class,
        sent=len(records),
        completed=len(completed),
        first_token_ms=compute_percentiles_ms(
            r.first_token_s for r in completed if r.first_token_s is not None
        ),
        total_ms=compute_percentiles_ms(r.total_s for r in completed),
        refusal_ms=compute_percentiles_ms(
            r.answer_s for r in records if r.execution == "not run"
        ),
        cost=sum(r.cost for r in records),
        outcomes=dict(Counter(r.outcome for r in records)),
    )


def summarize_classes(records: Sequence[model.RequestRecord]) -> list[Summary]:
    """Returns a summary of each class, followed by one of all records."""
    names = sorted({record.request_class for record in records})
    summaries = [
        summarize([r for r in records if r.request_class == name], name)
        for name in names
    ]
    return [*summaries, summarize(records, "all")]


def format_table(summaries: Sequence[Summary]) -> str:
    """Returns the summaries as a Markdown table."""
    lines = [
        "| class | sent | completed | first token p50/p95/p99 ms "
        "| total p50/p95/p99 ms | cost | other outcomes |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for entry in summaries:
        others = ", ".join(
            f"{count} {code}"
            for code, count in sorted(entry.outcomes.items())
            if code != model.COMPLETED
        )
        lines.append(
            f"| {entry.request_class} | {entry.sent} | {entry.completed} "
            f"| {_format_percentiles(entry.first_token_ms)} "
            f"| {_format_percentiles(entry.total_ms)} "
            f"| {entry.cost} | {others} |"
        )
    return "\n".join(lines)


def write_json(
    path: pathlib.Path,
    settings: dict[str, Any],
    records: Sequence[model.RequestRecord],
) -> None:
    """Writes settings, summaries, the encoded histogram and all records."""
    completed = [record for record in records if record.is_completed]
    encoded = build_histogram(r.total_s for r in completed).encode()
    content = {
        "settings": settings,
        "classes": [dataclasses.asdict(s) for s in summarize_classes(records)],
        "total_histogram_us": encoded.decode(),
        "records": [dataclasses.asdict(record) for record in records],
    }
    path.write_text(json.dumps(content, indent=1) + "\n")


def _format_percentiles(values: Sequence[float]) -> str:
    return "/".join(f"{value:.1f}" for value in values)
