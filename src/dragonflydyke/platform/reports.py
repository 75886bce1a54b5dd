"""Load reports of the platform's engines."""

import json
from typing import Any

from dragonflydyke.forwarding import escalation

_PATH = "/api/report"


class ReportCodec:
    """Decodes the platform's reports; see `reports.ReportCodec`."""

    __slots__ = ()

    @property
    def report_path(self) -> str:
        """Path of an engine's report."""
        return _PATH

    def read_report(self, body: bytes) -> escalation.EngineReport:
        """Returns the contents of a report.

        Raises:
            ValueError: If the report is not JSON, or a field is missing or has
                another type.
        """
        try:
            fields = json.loads(body)
        except RecursionError as error:
            raise ValueError("the report is nested too deeply") from error
        if not isinstance(fields, dict):
            raise ValueError("the report is not an object")
        # Lists only the running requests that have produced an event.
        runs = fields.get("runs")
        if not isinstance(runs, list):
            raise ValueError("field runs is not a list")
        return escalation.EngineReport(
            waiting=_read_count(fields, "waiting"),
            running=_read_count(fields, "running"),
            streaming=len(runs),
        )


def _read_count(fields: dict[str, Any], name: str) -> int:
    value = fields.get(name)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError(f"field {name} is {value!r}, not a count")
    return value
