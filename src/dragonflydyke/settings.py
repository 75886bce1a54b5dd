"""Typed program settings, read from flags and environment variables.

A program declares its settings as a frozen dataclass whose fields are created
by `setting`. A flag takes precedence over the environment variable of the same
setting.
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
    """A setting is missing or has an invalid value."""

    def __init__(self, name: str, message: str) -> None:
        super().__init__(
            "setting_invalid",
            f"--{name}: {message}",
            step=errors.Step.READ_SETTINGS,
            field=name,
        )


@dataclasses.dataclass(slots=True, frozen=True)
class Address:
    """A TCP or UDP address; port 0 lets the system choose a port on binding."""

    host: str
    port: int

    def __str__(self) -> str:
        """Returns `host:port`."""
        return f"{self.host}:{self.port}"


def parse_non_empty_text(text: str) -> str:
    """Returns the text unchanged.

    Raises:
        ValueError: If the text is empty or only whitespace.
    """
    if not text.strip():
        raise ValueError("must not be empty")
    return text


def parse_address(text: str) -> Address:
    """Parses `host:port`.

    Raises:
        ValueError: If the host or port is missing or the port is invalid.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not host:
        raise ValueError(f"{text!r} is not host:port, e.g. 10.0.0.4:8080")
    if not port.isdigit() or int(port) > _MAX_PORT:
        raise ValueError(f"port {port!r} is not a number from 0 to 65535")
    return Address(host.strip("[]"), int(port))


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Parses a comma-separated list of `host:port`, which may be empty.

    Raises:
        ValueError: If an entry is not `host:port`.
    """
    return tuple(
        parse_address(part.strip()) for part in text.split(",") if part.strip()
    )


def parse_url(text: str) -> str:
    """Parses an http or https URL and removes trailing slashes.

    Raises:
        ValueError: If the URL has another scheme.
    """
    if not text.startswith(("http://", "https://")):
        raise ValueError(f"{text!r} must start with http:// or https://")
    return text.rstrip("/")


def parse_positive_float(text: str) -> float:
    """Parses a number greater than 0.

    Raises:
        ValueError: If the text is not a number or not greater than 0.
    """
    try:
        value = float(text)
    except ValueError:
        raise ValueError(f"{text!r} is not a number") from None
    if not value > 0:
        raise ValueError(f"{text!r} must be greater than 0")
    return value


def parse_non_negative_float(text: str) -> float:
    """Parses a number of at least 0.

    Raises:
        ValueError: If the text is not a number or less than 0.
    """
    try:
        value = float(text)
    except ValueError:
        raise ValueError(f"{text!r} is not a number") from None
    if not value >= 0:
        raise ValueError(f"{text!r} must be at least 0")
    return value


def parse_non_negative_integer(text: str) -> int:
    """Parses an integer of at least 0.

    Raises:
        ValueError: If the text contains anything but digits.
    """
    if not text.isdigit():
        raise ValueError(f"{text!r} is not an integer of at least 0")
    return int(text)


def parse_boolean(text: str) -> bool:
    """Parses `true` or `false`, in any case.

    Raises:
        ValueError: If the text is anything else.
    """
    if text.lower() not in ("true", "false"):
        raise ValueError(f"{text!r} must be true or false")
    return text.lower() == "true"


def parse_existing_file(text: str) -> pathlib.Path:
    """Parses the path of an existing file.

    Raises:
        ValueError: If there is no regular file at the path.
    """
    path = pathlib.Path(text)
    if not path.is_file():
        raise ValueError(f"{text!r} is not an existing file")
    return path


def parse_choice(*choices: str) -> Callable[[str], str]:
    """Returns a parser that accepts only the given texts."""

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
        description: Description with the unit, shown by --help.
        parse: Converts the text to the value; raises ValueError if the text
            is invalid.
        default: Text to parse if neither the flag nor the environment variable
            is set.
        optional: Whether the value is None if nothing is set and there is no
            default; otherwise such a setting is required.
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
    """Returns the name of a field's flag without the leading dashes."""
    return field.name.replace("_", "-")


def environment_variable_name(field: dataclasses.Field[Any]) -> str:
    """Returns the name of a field's environment variable."""
    return ENVIRONMENT_PREFIX + field.name.upper()


def read_settings(
    settings_class: type[Settings],
    flags: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> Settings:
    """Reads and validates all settings of a program.

    Args:
        settings_class: Dataclass whose fields are created by `setting`.
        flags: Texts of the flags by name without the leading dashes; None for
            a flag that is not set.
        environment: Environment variables of the process.

    Raises:
        SettingsError: If a required setting is missing or a value is invalid.
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
            f"is required; set the flag or {environment_variable_name(field)}",
        )
    try:
        return field.metadata["parse"](text)
    except ValueError as error:
        raise SettingsError(name, str(error)) from error
