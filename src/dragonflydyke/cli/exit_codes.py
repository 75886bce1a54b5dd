"""Exit codes of `dragonflydyke`; docs/operators.md documents them."""

import enum

from dragonflydyke import errors

_CONFLICT_STATUS = 409
_MIN_SERVER_ERROR_STATUS = 500


class ExitCode(enum.IntEnum):
    """Exit codes for scripts.

    Attributes:
        OK: The command succeeded.
        REJECTED: The request or its input was rejected, or a check failed.
        USAGE: An argument, option or environment variable is invalid.
        CONFLICT: Another change was applied first.
        UNAVAILABLE: No server responded, or the server failed.
        OUTCOME_UNKNOWN: The request was sent and may have taken effect.
        TIMEOUT: A wait exceeded its timeout.
    """

    OK = 0
    REJECTED = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    OUTCOME_UNKNOWN = 5
    TIMEOUT = 6


class UsageError(Exception):
    """An argument, option or environment variable is invalid."""


class WaitTimeoutError(Exception):
    """A revision is not in force on all VMs within the timeout."""


def exit_code_for(error: Exception) -> ExitCode:
    """Returns the exit code that represents an error."""
    if isinstance(error, UsageError):
        return ExitCode.USAGE
    if isinstance(error, WaitTimeoutError):
        return ExitCode.TIMEOUT
    if not isinstance(error, errors.DragonflydykeError):
        return ExitCode.REJECTED
    if error.execution is errors.Execution.UNKNOWN:
        return ExitCode.OUTCOME_UNKNOWN
    if error.status == _CONFLICT_STATUS:
        return ExitCode.CONFLICT
    if error.status >= _MIN_SERVER_ERROR_STATUS:
        return ExitCode.UNAVAILABLE
    return ExitCode.REJECTED
