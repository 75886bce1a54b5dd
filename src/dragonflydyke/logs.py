"""Structured logs on logbook: one line per change of state."""

import datetime
import json
import sys
from typing import TextIO

import logbook

FORMATS = ("json", "text")
LEVELS = ("debug", "info", "notice", "warning", "error", "critical")


def _format_json(record: logbook.LogRecord, handler: object) -> str:
    del handler
    line = {
        "time": record.time.replace(tzinfo=datetime.UTC).isoformat(),
        "level": record.level_name.lower(),
        "channel": record.channel,
        "message": record.message,
    }
    line.update(record.kwargs or {})
    if record.exc_info:
        line["exception"] = record.formatted_exception
    return json.dumps(line, default=str)


def _format_text(record: logbook.LogRecord, handler: object) -> str:
    del handler
    fields = " ".join(f"{k}={v}" for k, v in (record.kwargs or {}).items())
    time = record.time.isoformat()
    line = f"{time} {record.level_name} {record.channel}: {record.message}"
    if record.exc_info:
        fields = f"{fields}\n{record.formatted_exception}"
    return f"{line} {fields}".rstrip()


def configure(
    level: str, output_format: str, stream: TextIO | None = None
) -> logbook.Handler:
    """Sends the log of this process to a stream.

    Args:
        level: One of LEVELS; less severe lines are dropped.
        output_format: One of FORMATS.
        stream: Destination, standard error by default.

    Returns:
        The installed handler, so that tests can remove it.
    """
    handler = logbook.StreamHandler(
        stream or sys.stderr, level=logbook.lookup_level(level.upper())
    )
    handler.formatter = (
        _format_json if output_format == "json" else _format_text
    )
    handler.push_application()
    return handler


def get_logger(channel: str) -> logbook.Logger:
    """Returns the logger of a module.

    Keyword arguments of its methods become fields of the line.
    """
    return logbook.Logger(channel)
