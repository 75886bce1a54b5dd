"""Structured logging with logbook.

Each state change or decision is logged as one line, as JSON or as text.
"""

import collections
import datetime
import json
import os
import sys
import time

import logbook

from dragonflydyke import buckets

FORMATS = ("json", "text")
# A node serves some tens of requests per second and logs one line for each.
MAX_LINES_PER_S = 200.0
_BURST_S = 2.0
_MIN_BURST_LINES = 1.0
_MAX_BUFFER_BYTES = 256_000
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


class NonBlockingHandler(logbook.Handler):
    """Log handler that writes to a file descriptor without blocking.

    Lines that exceed MAX_LINES_PER_S, and lines emitted while the buffer of
    unwritten lines is full, are dropped. The next line that is accepted is
    preceded by a line with the number of dropped lines.
    """

    def __init__(self, descriptor: int, level: int) -> None:
        """Creates a handler and makes the descriptor non-blocking.

        Args:
            descriptor: File descriptor to write to.
            level: Logbook level; less severe records are ignored.
        """
        super().__init__(level)
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._pending_lines: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self._dropped_lines = 0
        self._bucket = buckets.TokenBucket(_BURST_S, _MIN_BURST_LINES)
        self._last_refill_s = time.monotonic()
        self._bucket.refill(MAX_LINES_PER_S, 0.0)

    def emit(self, record: logbook.LogRecord) -> None:
        """Writes the record as a line, or drops it and counts it."""
        now_s = time.monotonic()
        self._bucket.refill(MAX_LINES_PER_S, now_s - self._last_refill_s)
        self._last_refill_s = now_s
        is_over_rate = self._bucket.compute_wait_s(1.0) > 0.0
        if is_over_rate or self._pending_bytes > _MAX_BUFFER_BYTES:
            self._dropped_lines += 1
            self._flush()
            return
        self._bucket.take(1.0)
        if self._dropped_lines:
            self._append(
                json.dumps(
                    {
                        "message": "log lines dropped",
                        "count": self._dropped_lines,
                    }
                )
            )
            self._dropped_lines = 0
        self._append(self.format(record))
        self._flush()

    def _append(self, line: str) -> None:
        data = line.encode() + b"\n"
        self._pending_lines.append(data)
        self._pending_bytes += len(data)

    def _flush(self) -> None:
        while self._pending_lines:
            data = self._pending_lines[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end, and there is no other place
                # to report it.
                self._pending_lines.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            if written < len(data):
                self._pending_lines[0] = data[written:]
                return
            self._pending_lines.popleft()


def configure_non_blocking(level: str) -> logbook.Handler:
    """Logs JSON lines to standard output without blocking.

    Args:
        level: One of LEVELS; less severe records are ignored.

    Returns:
        The installed handler.
    """
    handler = NonBlockingHandler(
        sys.stdout.fileno(), logbook.lookup_level(level.upper())
    )
    handler.formatter = _format_json
    handler.push_application()
    return handler


def configure(level: str, output_format: str) -> logbook.Handler:
    """Logs to standard error.

    Args:
        level: One of LEVELS; less severe records are ignored.
        output_format: One of FORMATS.

    Returns:
        The installed handler, so that tests can remove it.
    """
    handler = logbook.StreamHandler(
        sys.stderr, level=logbook.lookup_level(level.upper())
    )
    handler.formatter = (
        _format_json if output_format == "json" else _format_text
    )
    handler.push_application()
    return handler


def get_logger(channel: str) -> logbook.Logger:
    """Returns a logger for a channel.

    Keyword arguments of its methods become fields of the log line.
    """
    return logbook.Logger(channel)
