"""Formatting of the commands' text output."""

import collections
import datetime
import io
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from ruamel import yaml

from dragonflydyke import configuration

_CHANGE_SYMBOLS = {
    configuration.ChangeKind.ADDED: "+",
    configuration.ChangeKind.REMOVED: "-",
    configuration.ChangeKind.CHANGED: "~",
}


def format_table(
    columns: Sequence[str], rows: Iterable[Mapping[str, Any]]
) -> str:
    """Returns a text table with a heading line and aligned columns.

    Args:
        columns: Keys of the rows to show, in this order.
        rows: Values by column; a missing or empty value is shown as `-`.
    """
    lines = [[column.upper() for column in columns]]
    for row in rows:
        lines.append([_format_cell(row.get(column)) for column in columns])
    widths = [max(map(len, cells)) for cells in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def _format_cell(value: Any) -> str:
    if value is None or value == "":
        return "-"
    if isinstance(value, float):
        return f"{value:.1f}"
    return str(value)


def format_time(milliseconds: int) -> str:
    """Formats a Unix time in milliseconds as UTC in ISO 8601 format."""
    time = datetime.datetime.fromtimestamp(milliseconds / 1_000, datetime.UTC)
    return time.strftime("%Y-%m-%dT%H:%M:%SZ")


def format_yaml(value: Any) -> str:
    """Formats a JSON value as YAML that `configuration.load_files` accepts."""
    stream = io.StringIO()
    writer = yaml.YAML(typ="safe", pure=True)
    writer.default_flow_style = False
    # Without this, the safe representer writes YAML aliases for lists that
    # occur several times.
    writer.representer.ignore_aliases = lambda data: True
    writer.sort_base_mapping_type_on_output = False
    writer.dump(value, stream)
    return stream.getvalue().rstrip("\n")


def format_change(change: configuration.Change) -> str:
    """Formats a change as one line."""
    text = f"{_CHANGE_SYMBOLS[change.kind]} {change.path}"
    if change.kind is configuration.ChangeKind.CHANGED:
        text += f": {change.old!r} -> {change.new!r}"
    return f"{text} (removes)" if change.removes else text


def format_report(report: configuration.CheckReport) -> str:
    """Returns a line for each finding and a summary."""
    lines = [format_finding(found) for found in report.findings]
    state = "valid" if report.is_valid else "invalid"
    if report.digest:
        state += f", digest {report.digest}"
    counts = [
        f"{count} {severity.value}(s)"
        for severity in configuration.Severity
        if (count := report.count(severity))
    ]
    return "\n".join([*lines, ", ".join([state, *counts])])


def format_finding(found: configuration.Problem) -> str:
    """Returns `file:line: severity [code] path: message, ...; fix`."""
    return (
        f"{found.format_location()}{found.severity.value} [{found.code}]"
        f" {found.format_description()}"
    )


def format_bill_totals(bills: Iterable[Mapping[str, Any]]) -> str:
    """Returns a table of totals per client account and outcome."""
    fields = ("prompt_tokens", "completion_tokens", "cost")
    totals: dict[tuple[str, str], collections.Counter[str]] = {}
    for bill in bills:
        key = (bill["client_account"], str(bill["outcome"]))
        total = totals.setdefault(key, collections.Counter())
        total["bills"] += 1
        for field in fields:
            total[field] += bill[field]
    rows = (
        {"client_account": account, "outcome": outcome, **total}
        for (account, outcome), total in sorted(totals.items())
    )
    return format_table(("client_account", "outcome", "bills", *fields), rows)
