"""The history of one request in the logs of several nodes."""

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
# Fields that are shown first or say nothing about the request.
_FIELDS_NOT_LISTED = frozenset(
    (_TIME_FIELD, _REQUEST_FIELD, _MESSAGE_FIELD, "level", "channel")
)


class ExplainCommand(base.BaseCommand):
    """Prints what the nodes logged on a request."""

    name = "explain"
    description = "Prints the history of a request from the logs of nodes."
    arguments = [
        argument("request", description="Id of the request."),
        argument("files", description="Log files of nodes.", multiple=True),
    ]

    def run_command(self) -> ExitCode:
        """Reads the logs; a request that none of them has is refused."""
        request_id = self.argument("request")
        found = []
        for name in self.argument("files"):
            found.extend(_read_records(pathlib.Path(name), request_id))
        found.sort(key=lambda line: str(line.get(_TIME_FIELD, "")))
        if not found:
            self.print_result(f"no line on request {request_id}", found)
            return ExitCode.REJECTED
        self.print_result(
            "\n".join(_format_record(line) for line in found), found
        )
        return ExitCode.OK


def _read_records(
    path: pathlib.Path, request_id: str
) -> Iterable[dict[str, Any]]:
    """Yields the lines of a log on a request; other text is passed over."""
    try:
        text = path.read_text(errors="replace")
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}") from error
    for line in text.splitlines():
        if request_id not in line:
            continue
        try:
            # A collector may have put its own fields before the line.
            fields = json.loads(line[line.index("{") :])
        except ValueError:
            continue
        if (
            isinstance(fields, dict)
            and fields.get(_REQUEST_FIELD) == request_id
        ):
            yield fields | {"log": path.name}


def _format_record(line: dict[str, Any]) -> str:
    details = " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in _FIELDS_NOT_LISTED
    )
    return (
        f"{line.get(_TIME_FIELD, '')} {line.get(_MESSAGE_FIELD, '')}: {details}"
    )
