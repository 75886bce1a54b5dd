"""Command that collects the log records of one request from several nodes."""

import json
import pathlib
from collections.abc import Iterable
from typing import Any

from cleo.helpers import argument

from dragonflydyke.cli import base
from dragonflydyke.cli.exit_codes import ExitCode, UsageError

_TIME_FIELD = "time"
_REQUEST_FIELD = "request"
_MESSAGE_FIELD = "message"
# Fields that are printed at the start of the line or that do not describe the
# request.
_FIELDS_NOT_LISTED = frozenset(
    (_TIME_FIELD, _REQUEST_FIELD, _MESSAGE_FIELD, "level", "channel")
)


class ExplainCommand(base.BaseCommand):
    """Prints the log records of a request in chronological order."""

    name = "explain"
    description = "Prints the history of a request from the nodes' logs."
    arguments = [
        argument("request", description="Id of the request."),
        argument("files", description="Log files of the nodes.", multiple=True),
    ]

    def run_command(self) -> ExitCode:
        """Prints the records, or returns REJECTED if there are none.

        Raises:
            UsageError: If a log file cannot be read.
        """
        request_id = self.argument("request")
        records = []
        for name in self.argument("files"):
            records.extend(_read_records(pathlib.Path(name), request_id))
        records.sort(key=lambda record: str(record.get(_TIME_FIELD, "")))
        if not records:
            self.print_result(f"no log line for request {request_id}", records)
            return ExitCode.REJECTED
        self.print_result(
            "\n".join(_format_record(record) for record in records),
            records,
        )
        return ExitCode.OK


def _read_records(
    path: pathlib.Path, request_id: str
) -> Iterable[dict[str, Any]]:
    """Yields the log records of a request.

    Lines without a JSON object, such as truncated ones, are skipped.

    Raises:
        UsageError: If the file cannot be read.
    """
    try:
        text = path.read_text(errors="replace")
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}") from error
    for line in text.splitlines():
        if request_id not in line:
            continue
        try:
            # A log collector may have added a prefix to the line.
            fields = json.loads(line[line.index("{") :])
        except ValueError:
            continue
        if (
            isinstance(fields, dict)
            and fields.get(_REQUEST_FIELD) == request_id
        ):
            yield fields | {"log": path.name}


def _format_record(record: dict[str, Any]) -> str:
    details = " ".join(
        f"{name}={value}"
        for name, value in record.items()
        if name not in _FIELDS_NOT_LISTED
    )
    return (
        f"{record.get(_TIME_FIELD, '')} {record.get(_MESSAGE_FIELD, '')}:"
        f" {details}"
    )
