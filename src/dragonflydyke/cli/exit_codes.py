"""Exit codes of `dragonflydyke`, documented in docs/operators.md."""

import enum

from dragonflydyke import errors

_CONFLICT_STATUS = 409
_MIN_SERVER_ERROR_STATUS = 500


class ExitCode(enum.IntEnum):
    """What a script may conclude from the end of a command."""

    OK = 0
    REJECTED = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    OUTCOME_UNKNOWN = 5
    TIMEOUT = 6


class UsageError(Exception):
    """An argument, option or variable cannot be used."""


class WaitTimeoutError(Exception):
    """A revision is not in force everywhere within the time given."""


def exit_code_for(error: Exception) -> ExitCode:
    """Returns the exit code that reports an error."""
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
