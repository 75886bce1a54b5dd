"""Typed settings of a program, from flags and environment variables.

A program declares its settings as a frozen dataclass whose fields are made by
`setting`. A flag goes before the environment variable of the same name.
"""

import dataclasses
import pathlib
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from dragonflydyke import errors

ENVIRONMENT_PREFIX = "DRAGONFLYDYKE_"
_MAX_PORT = 65_535

Settings = TypeVar("Settings")


class SettingsError(errors.DragonflydykeError):
    """A setting is missing or has a value that cannot be used."""

    def __init__(self, name: str, message: str) -> None:
        super().__init__(
            "setting_invalid",
            f"--{name}: {message}",
            step=errors.Step.READ_SETTINGS,
            field=name,
        )


@dataclasses.dataclass(slots=True, frozen=True)
class Address:
    """A TCP or UDP address; port 0 lets the system pick one on binding."""

    host: str
    port: int

    def __str__(self) -> str:
        """Returns `host:port`."""
        return f"{self.host}:{self.port}"


def parse_non_empty_text(text: str) -> str:
    """Returns the text, which must not be empty."""
    if not text.strip():
        raise ValueError("must not be empty")
    return text


def parse_address(text: str) -> Address:
    """Parses `host:port`."""
    host, separator, port = text.rpartition(":")
    if not separator or not host:
        raise ValueError(f"{text!r} is not host:port, e.g. 10.0.0.4:8080")
    if not port.isdigit() or int(port) > _MAX_PORT:
        raise ValueError(f"port {port!r} is not a number from 0 to 65535")
    return Address(host.strip("[]"), int(port))


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Parses a comma-separated list of `host:port`; may be empty."""
    return tuple(
        parse_address(part.strip()) for part in text.split(",") if part.strip()
    )


def parse_url(text: str) -> str:
    """Parses an http or https URL and drops a closing slash."""
    if not text.startswith(("http://", "https://")):
        raise ValueError(f"{text!r} must start with http:// or https://")
    return text.rstrip("/")


def parse_positive_float(text: str) -> float:
    """Parses a number greater than zero."""
    try:
        value = float(text)
    except ValueError:
        raise ValueError(f"{text!r} is not a number") from None
    if not value > 0:
        raise ValueError(f"{text!r} must be greater than 0")
    return value


def parse_non_negative_float(text: str) -> float:
    """Parses a number of at least zero."""
    try:
        value = float(text)
    except ValueError:
        raise ValueError(f"{text!r} is not a number") from None
    if not value >= 0:
        raise ValueError(f"{text!r} must be at least 0")
    return value


def parse_non_negative_integer(text: str) -> int:
    """Parses a whole number of at least zero."""
    if not text.isdigit():
        raise ValueError(f"{text!r} is not a whole number of at least 0")
    return int(text)


def parse_boolean(text: str) -> bool:
    """Parses `true` or `false`."""
    if text.lower() not in ("true", "false"):
        raise ValueError(f"{text!r} must be true or false")
    return text.lower() == "true"


def parse_existing_file(text: str) -> pathlib.Path:
    """Parses the path of an existing, readable file."""
    path = pathlib.Path(text)
    if not path.is_file():
        raise ValueError(f"{text!r} is not a file")
    return path


def parse_choice(*choices: str) -> Callable[[str], str]:
    """Returns a parser that accepts one of some words."""

    def parse(text: str) -> str:
        if text not in choices:
            raise ValueError(f"{text!r} must be one of {', '.join(choices)}")
        return text

    return parse


def setting(
    description: str,
    parse: Callable[[str], Any] = parse_non_empty_text,
    default: str | None = None,
    *,
    optional: bool = False,
) -> Any:
    """Declares a field of a settings dataclass.

    Args:
        description: Shown by --help, with the unit.
        parse: Turns the text into the value; raises ValueError.
        default: Text that is parsed when neither flag nor variable is given.
        optional: Whether the value is None when nothing is given; otherwise a
            setting without a default is required.
    """
    return dataclasses.field(
        metadata={
            "description": description,
            "parse": parse,
            "default": default,
            "optional": optional,
        }
    )


def flag_name(field: dataclasses.Field[Any]) -> str:
    """Returns the flag of a field without its leading dashes."""
    return field.name.replace("_", "-")


def environment_variable_name(field: dataclasses.Field[Any]) -> str:
    """Returns the environment variable of a field."""
    return ENVIRONMENT_PREFIX + field.name.upper()


def read_settings(
    settings_class: type[Settings],
    flags: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> Settings:
    """Reads and checks all settings of a program.

    Args:
        settings_class: Dataclass whose fields are made by `setting`.
        flags: Flag names without dashes and their texts; None if not given.
        environment: Environment variables of the process.

    Raises:
        SettingsError: If a setting is missing or cannot be parsed.
    """
    values = {}
    for field in dataclasses.fields(settings_class):
        text = flags.get(flag_name(field))
        if text is None:
            text = environment.get(environment_variable_name(field))
        if text is None:
            text = field.metadata["default"]
        values[field.name] = _parse_setting(field, text)
    return settings_class(**values)


def _parse_setting(field: dataclasses.Field[Any], text: str | None) -> Any:
    name = flag_name(field)
    if text is None:
        if field.metadata["optional"]:
            return None
        raise SettingsError(
            name,
            f"is required; give the flag or {environment_variable_name(field)}",
        )
    try:
        return field.metadata["parse"](text)
    except ValueError as error:
        raise SettingsError(name, str(error)) from error
