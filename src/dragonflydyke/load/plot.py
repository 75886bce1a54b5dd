"""Plot of latency over time; needs the optional extra `plot`."""

import pathlib
from collections.abc import Sequence

from dragonflydyke.load import model

_MS_PER_S = 1_000


def draw(path: pathlib.Path, records: Sequence[model.Record]) -> None:
    """Draws the total time of each answer over its intended start.

    Raises:
        ImportError: If matplotlib is not installed.
    """
    from matplotlib import figure

    drawing = figure.Figure(figsize=(9, 5), layout="constrained")
    axes = drawing.subplots()
    for name in sorted({record.request_class for record in records}):
        done = [
            r for r in records if r.request_class == name and r.is_completed
        ]
        axes.plot(
            [r.intended_s for r in done],
            [r.total_s * _MS_PER_S for r in done],
            ".",
            markersize=3,
            label=name,
        )
    others = [r for r in records if not r.is_completed]
    axes.plot(
        [r.intended_s for r in others],
        [r.total_s * _MS_PER_S for r in others],
        "x",
        label="not completed",
    )
    axes.set_yscale("log")
    axes.set_xlabel("intended start, s")
    axes.set_ylabel("total time, ms")
    axes.legend()
    drawing.savefig(path)
