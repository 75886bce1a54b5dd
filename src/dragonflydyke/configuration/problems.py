"""Problems of a configuration and the error that reports them together."""

import dataclasses
from collections.abc import Iterable, Mapping
from typing import Any

from dragonflydyke import errors

_MAX_SHOWN = 10**18

Path = tuple[str | int, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Location:
    """Where a node was read; the line counts from 1."""

    file: str
    line: int


Locations = Mapping[Path, Location]


@dataclasses.dataclass(slots=True, frozen=True)
class Problem:
    """One fault of a configuration.

    Attributes:
        file: File, empty if the configuration did not come from files.
        line: Line from 1, or 0 if unknown.
        path: For example `models[0].versions[1].state`.
        value: The faulty value.
        message: What is wrong.
        fix: What to do about it.
    """

    file: str
    line: int
    path: str
    value: Any
    message: str
    fix: str

    def __str__(self) -> str:
        """Returns `file:line: path: message (value); fix`."""
        place = f"{self.file}:{self.line}: " if self.file else ""
        shown = "" if self.value is None else f", found {self.value!r}"
        return f"{place}{self.path}: {self.message}{shown}; {self.fix}"


class ConfigurationError(errors.DragonflydykeError):
    """A configuration was refused; `problems` holds every reason."""

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
    """Collects problems and finds the location of each path."""

    __slots__ = ("_locations", "items")

    def __init__(self, locations: Locations | None = None) -> None:
        self._locations = locations or {}
        self.items: list[Problem] = []

    def add(self, path: Path, value: Any, message: str, fix: str) -> None:
        """Adds a problem at a path."""
        place = self._locate(path)
        shown = value
        if not isinstance(value, str | int | float | bool | None):
            shown = str(value)
        elif isinstance(value, int | float) and not abs(value) < _MAX_SHOWN:
            # JSON has no NaN and no infinity.
            shown = str(value)
        self.items.append(
            Problem(
                place.file, place.line, format_path(path), shown, message, fix
            )
        )

    def raise_if_any(self) -> None:
        """Raises ConfigurationError if there are problems."""
        if self.items:
            raise ConfigurationError(
                sorted(self.items, key=lambda p: (p.file, p.line))
            )

    def _locate(self, path: Path) -> Location:
        # A missing field has no line of its own; its parent has.
        for length in range(len(path), -1, -1):
            place = self._locations.get(path[:length])
            if place is not None:
                return place
        return Location("", 0)
