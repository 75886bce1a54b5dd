"""Latency histograms of one process, formatted for its metrics page."""

from hdrh import histogram

_MAX_MS = 60_000
_SIGNIFICANT_DIGITS = 2
_PERCENTILES = (50.0, 90.0, 99.0)
_MS_PER_S = 1_000
# Names come from configurations, which may name other routes every day. A
# histogram takes 10 kB.
_MAX_HISTOGRAMS = 500


class LatencyHistograms:
    """Latency histograms by name; values are recorded in milliseconds.

    Histograms that were not used for the longest time are dropped beyond a
    number of them, and start anew when they are used again.
    """

    __slots__ = ("_histograms",)

    def __init__(self) -> None:
        self._histograms: dict[str, histogram.HdrHistogram] = {}

    def record(self, name: str, seconds: float) -> None:
        """Records a duration; one above a minute is recorded as a minute."""
        found = self._histograms.pop(name, None)
        if found is None:
            found = histogram.HdrHistogram(1, _MAX_MS, _SIGNIFICANT_DIGITS)
        # The newest use is last.
        self._histograms[name] = found
        if len(self._histograms) > _MAX_HISTOGRAMS:
            del self._histograms[next(iter(self._histograms))]
        found.record_value(min(int(seconds * _MS_PER_S), _MAX_MS))

    def format_text(self) -> str:
        """Returns the histograms as text.

        Each histogram has a line for its number of values and one for each
        percentile in milliseconds.
        """
        lines = []
        for name, found in sorted(self._histograms.items()):
            lines.append(f"{name}.count {found.get_total_count()}\n")
            lines.extend(
                f"{name}.p{percentile:.0f}_ms"
                f" {found.get_value_at_percentile(percentile)}\n"
                for percentile in _PERCENTILES
            )
        return "".join(lines)
