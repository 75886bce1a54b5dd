"""Checks and comparisons of a JSON file of the users' platform."""

import asyncio
from collections.abc import Sequence
from typing import TYPE_CHECKING

from dragonflydyke import configuration, settings
from dragonflydyke.cli.exit_codes import UsageError

# The adapter is imported where it is used, because the other commands do not
# need the modules of the router.
if TYPE_CHECKING:
    from dragonflydyke.forwarding import node
    from dragonflydyke.platform import checks

_SUFFIX = ".json"


def find_json_file(files: Sequence[str]) -> str | None:
    """Returns the JSON file among the arguments, or None if there is none.

    Raises:
        UsageError: If there are other files beside it.
    """
    found = [file for file in files if file.lower().endswith(_SUFFIX)]
    if found and len(files) > 1:
        raise UsageError(
            f"{found[0]}: a JSON file is a complete configuration; name no"
            " other file"
        )
    return found[0] if found else None


def check_file(
    file: str, settings_file: str | None
) -> configuration.CheckReport:
    """Checks a JSON file.

    Raises:
        UnreadableError: If the file does not contain a JSON value.
        UsageError: If the settings file is invalid.
    """
    from dragonflydyke.platform import checks

    return checks.check_file(file, _read_settings(settings_file))


def compare_file(
    file: str, settings_file: str | None, old_file: str | None
) -> "checks.Comparison":
    """Compares a JSON file with another one, or with the store.

    Raises:
        ConfigurationError: If one of the two is invalid.
        UnreadableError: If a file does not contain a JSON value.
        UsageError: If neither file is given, or the settings are invalid.
    """
    from dragonflydyke.platform import checks

    new = checks.read_file(file)
    if old_file:
        old = checks.read_file(old_file)
    else:
        values = _read_settings(settings_file)
        if values is None:
            raise UsageError("a JSON file needs --against or --settings")
        old = asyncio.run(checks.read_stored(values))
    return checks.compare_entries(
        old, new, old_file=old_file or "(stored)", new_file=file
    )


def _read_settings(file: str | None) -> "node.NodeSettings | None":
    from dragonflydyke.platform import process

    if not file:
        return None
    try:
        return process.read_settings_file(file)
    except settings.SettingsError as error:
        raise UsageError(f"--settings: {file}: {error.message}") from error
