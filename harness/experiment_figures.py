"""Figures of the runs of an experiment, computed from all its requests."""

import statistics
from collections.abc import Sequence

from dragonflydyke.load import model, results
from harness import experiment_documents

_SHORT_CLASSES = ("line_question", "substitution_check")

Figures = dict[str, float]


def _select_classes(
    records: Sequence[model.RequestRecord],
    names: Sequence[str] = _SHORT_CLASSES,
) -> list[model.RequestRecord]:
    return [r for r in records if r.request_class in names]


def compute_latencies(records: Sequence[model.RequestRecord]) -> Figures:
    """Returns percentiles of the latencies, and the completed share."""
    done = [r for r in records if r.is_completed]
    first = results.compute_percentiles_ms(
        r.first_token_s for r in done if r.first_token_s is not None
    )
    total = results.compute_percentiles_ms(r.total_s for r in done)
    names = ("p50", "p95", "p99")
    return {
        **{f"first token {n} ms": v for n, v in zip(names, first, strict=True)},
        **{f"total {n} ms": v for n, v in zip(names, total, strict=True)},
        "completed %": _compute_percent(len(done), len(records)),
    }


def compute_short_classes(
    records: Sequence[model.RequestRecord],
) -> Figures:
    """Returns how short requests fare beside long ones."""
    short = _select_classes(records)
    long = [r for r in records if r.request_class not in _SHORT_CLASSES]
    times = compute_latencies(short)
    rejected = [r for r in records if r.execution == "not run"]
    long_ms = results.compute_percentiles_ms(
        r.total_s for r in long if r.is_completed
    )
    return {
        "short first token p99 ms": times["first token p99 ms"],
        "short total p50 ms": times["total p50 ms"],
        "short total p99 ms": times["total p99 ms"],
        "short completed %": times["completed %"],
        "refused %": _compute_percent(len(rejected), len(records)),
        "refusal p99 ms": results.compute_percentiles_ms(
            r.answer_s for r in rejected
        )[2],
        "long total p99 ms": long_ms[2],
        "long completed %": _compute_percent(
            sum(r.is_completed for r in long), len(long)
        ),
    }


def compute_cost(records: Sequence[model.RequestRecord]) -> Figures:
    """Returns cost and quality of the responses to chats."""
    document = experiment_documents.load()
    quality = {
        f"{entry['name']}@{version['name']}": version["quality"]
        for entry in document["models"]
        for version in entry["versions"]
    }
    for ratings in quality.values():
        experiment_documents.add_class_quality(ratings)
    targets = {
        c["name"]: c["quality_target"]
        for c in experiment_documents.build_classes(document)
    }
    chats = [r for r in records if r.request_class in targets]
    done = [r for r in chats if r.is_completed]
    on_target = [
        r
        for r in done
        if quality[r.version].get(r.request_class, 0.0)
        >= targets[r.request_class]
    ]
    rated = [r.rating for r in done if r.rating is not None]
    times = compute_latencies(_select_classes(done, ("booking_confirmation",)))
    return {
        "cost per request": sum(r.cost for r in done) / max(1, len(done)),
        "configured quality reaches target %": _compute_percent(
            len(on_target), len(done)
        ),
        "mean rating": statistics.mean(rated or [0.0]),
        "rating reaches target %": _compute_percent(
            sum(r.rating >= targets[r.request_class] for r in done if r.rating),
            len(rated),
        ),
        "completed %": _compute_percent(len(done), len(chats)),
        "booking total p99 ms": times["total p99 ms"],
    }


def compute_exposure(records: Sequence[model.RequestRecord]) -> Figures:
    """Returns the share of requests that ran on the bad version."""
    exposed = [r for r in records if r.version == "planner-small@v2"]
    return {
        "on the bad version %": _compute_percent(len(exposed), len(records)),
        "completed %": _compute_percent(
            sum(r.is_completed for r in records), len(records)
        ),
    }


def compute_faults(records: Sequence[model.RequestRecord]) -> Figures:
    """Returns what was lost or left unknown, and the latencies."""
    lost = [r for r in records if r.outcome == "no_response"]
    unknown = [r for r in records if r.execution == "unknown"]
    return {
        "no response %": _compute_percent(len(lost), len(records)),
        "execution unknown %": _compute_percent(len(unknown), len(records)),
        **compute_latencies(records),
    }


def _compute_percent(part: int, whole: int) -> float:
    return 100.0 * part / whole if whole else 0.0
