"""Plot of latency over time; needs the optional dependency `plot`."""

import pathlib
from collections.abc import Sequence

from dragonflydyke.load import model

_MS_PER_S = 1_000


def draw_latencies(
    path: pathlib.Path, records: Sequence[model.RequestRecord]
) -> None:
    """Plots the total time of each request over its intended start.

    Args:
        path: Image file to write.
        records: Recorded requests.

    Raises:
        ImportError: If matplotlib is not installed.
    """
    from matplotlib import figure

    drawing = figure.Figure(figsize=(9, 5), layout="constrained")
    axes = drawing.subplots()
    for name in sorted({record.request_class for record in records}):
        completed = [
            r for r in records if r.request_class == name and r.is_completed
        ]
        axes.plot(
            [r.intended_s for r in completed],
            [r.total_s * _MS_PER_S for r in completed],
            ".",
            markersize=3,
            label=name,
        )
    failed = [r for r in records if not r.is_completed]
    axes.plot(
        [r.intended_s for r in failed],
        [r.total_s * _MS_PER_S for r in failed],
        "x",
        label="not completed",
    )
    axes.set_yscale("log")
    axes.set_xlabel("intended start, s")
    axes.set_ylabel("total time, ms")
    axes.legend()
    drawing.savefig(path)
