"""Problems of a configuration and the error that reports them."""

import dataclasses
import enum
from collections.abc import Iterable, Mapping
from typing import Any

from dragonflydyke import errors

_MAX_JSON_NUMBER = 10**18

Path = tuple[str | int, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Location:
    """Position of a node in a file; the first line is 1."""

    file: str
    line: int


Locations = Mapping[Path, Location]


class Severity(enum.StrEnum):
    """Whether the router accepts the configuration in spite of a problem.

    Attributes:
        ERROR: The router rejects the configuration.
        WARNING: The router accepts it, but a part of it has no effect or
            contradicts another part.
    """

    ERROR = "error"
    WARNING = "warning"


INVALID_CODE = "invalid"
UNREADABLE_CODE = "unreadable"


@dataclasses.dataclass(slots=True, frozen=True)
class Problem:
    """One problem of a configuration.

    Attributes:
        file: Name of the file, empty if the configuration was not read from
            files.
        line: Line number, 0 if unknown.
        path: Path of the value, for example `models[0].versions[1].state`.
        value: The invalid value.
        message: Description of the problem.
        fix: How to correct it.
        code: Stable identifier for pipelines, listed in docs/operators.md.
        severity: Whether the router accepts the configuration anyway.
    """

    file: str
    line: int
    path: str
    value: Any
    message: str
    fix: str
    code: str = INVALID_CODE
    severity: Severity = Severity.ERROR

    def __str__(self) -> str:
        """Returns `file:line: path: message, found value; fix`."""
        return self.format_location() + self.format_description()

    def format_location(self) -> str:
        """Returns `file:line: `, without the parts that are unknown."""
        if not self.file:
            return ""
        return f"{self.file}:{self.line}: " if self.line else f"{self.file}: "

    def format_description(self) -> str:
        """Returns `path: message, found value; fix`."""
        shown_value = "" if self.value is None else f", found {self.value!r}"
        return f"{self.path}: {self.message}{shown_value}; {self.fix}"


class ConfigurationError(errors.DragonflydykeError):
    """A configuration is invalid; `problems` contains all reasons."""

    def __init__(self, problems: Iterable[Problem]) -> None:
        self.problems = tuple(problems)
        listed = "\n".join(str(problem) for problem in self.problems)
        super().__init__(
            "configuration_invalid",
            f"{len(self.problems)} problem(s) in the configuration:\n{listed}",
            step=errors.Step.LOAD_CONFIGURATION,
            status=422,
            field=self.problems[0].path if self.problems else "",
        )


class UnreadableError(ConfigurationError):
    """Input could not be read, so that nothing in it was checked."""


def format_path(path: Path) -> str:
    """Returns a path as text, for example `models[0].name`."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else part
    return text or "(document)"


class ProblemList:
    """Collects problems and looks up the location of each path."""

    __slots__ = ("_locations", "items")

    def __init__(self, locations: Locations | None = None) -> None:
        self._locations = locations or {}
        self.items: list[Problem] = []

    def add(
        self,
        path: Path,
        value: Any,
        message: str,
        fix: str,
        *,
        code: str = INVALID_CODE,
        severity: Severity = Severity.ERROR,
    ) -> None:
        """Adds a problem.

        Args:
            path: Path of the invalid value.
            value: The invalid value; converted to a string if it cannot be
                represented in JSON.
            message: Description of the problem.
            fix: How to correct it.
            code: Stable identifier of the kind of problem.
            severity: Whether the router accepts the configuration anyway.
        """
        location = self._find_location(path)
        shown_value = value
        if not isinstance(value, str | int | float | bool | None):
            shown_value = str(value)
        elif (
            isinstance(value, int | float) and not abs(value) < _MAX_JSON_NUMBER
        ):
            # JSON cannot represent NaN and infinity.
            shown_value = str(value)
        self.items.append(
            Problem(
                location.file,
                location.line,
                format_path(path),
                shown_value,
                message,
                fix,
                code,
                severity,
            )
        )

    def sort(self) -> tuple[Problem, ...]:
        """Returns the problems in the order of their locations."""
        return tuple(sorted(self.items, key=lambda p: (p.file, p.line)))

    def raise_if_any(self) -> None:
        """Raises ConfigurationError if there are problems."""
        if self.items:
            raise ConfigurationError(self.sort())

    def _find_location(self, path: Path) -> Location:
        # A missing field has no location, so that of its nearest ancestor is
        # used.
        for length in range(len(path), -1, -1):
            location = self._locations.get(path[:length])
            if location is not None:
                return location
        return Location("", 0)
