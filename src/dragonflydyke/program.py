"""Command line of the daemons, with `serve` and `check-settings` commands."""

import asyncio
import dataclasses
import os
import sys
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from cleo import application
from cleo.commands import command
from cleo.helpers import option

import dragonflydyke
from dragonflydyke import errors, settings

EXIT_FAILURE = 1
EXIT_USAGE = 2


def _build_options(settings_class: type[Any]) -> list[Any]:
    options = []
    for field in dataclasses.fields(settings_class):
        variable = settings.environment_variable_name(field)
        default = field.metadata["default"]
        suffix = f" Default: {default}." if default else ""
        options.append(
            option(
                settings.flag_name(field),
                description=f"{field.metadata['description']}{suffix}"
                f" [{variable}]",
                flag=False,
            )
        )
    return options


class _SettingsCommand(command.Command):
    """A command that reads the program's settings and calls a function."""

    def __init__(
        self,
        name: str,
        description: str,
        settings_class: type[Any],
        run: Callable[[Any], int],
    ) -> None:
        self.name = name
        self.description = description
        self.options = _build_options(settings_class)
        self._settings_class = settings_class
        self._run_function = run
        super().__init__()

    def handle(self) -> int:
        """Runs the command; returns EXIT_USAGE if a setting is invalid."""
        flags = {
            settings.flag_name(field): self.option(settings.flag_name(field))
            for field in dataclasses.fields(self._settings_class)
        }
        try:
            values = settings.read_settings(
                self._settings_class, flags, os.environ
            )
        except settings.SettingsError as error:
            self.line_error(str(error))
            return EXIT_USAGE
        return self._run_function(values)


def _serve(run: Callable[[Any], Awaitable[None]], values: Any) -> int:
    try:
        asyncio.run(run(values))
    except (errors.DragonflydykeError, OSError) as error:
        print(f"failed to start: {error}", file=sys.stderr)
        return EXIT_FAILURE
    return 0


def run_program(
    name: str,
    description: str,
    settings_class: type[Any],
    run: Callable[[Any], Awaitable[None]],
    arguments: Sequence[str] | None = None,
) -> int:
    """Runs the command line of a daemon.

    Args:
        name: Name of the program.
        description: One sentence for --help.
        settings_class: Dataclass of the program's settings.
        run: Coroutine function that serves until a graceful shutdown.
        arguments: Command line without the program name; None uses sys.argv.

    Returns:
        The exit code: 0 after a graceful shutdown, EXIT_FAILURE if the program
        fails to start, EXIT_USAGE if a setting is invalid.
    """
    app = application.Application(name, dragonflydyke.__version__)
    app.auto_exits(False)
    app.add(
        _SettingsCommand(
            "serve",
            description,
            settings_class,
            lambda values: _serve(run, values),
        )
    )
    app.add(
        _SettingsCommand(
            "check-settings",
            "Validates the settings and exits.",
            settings_class,
            lambda values: 0,
        )
    )
    if arguments is None:
        return app.run()
    from cleo.io.inputs import argv_input

    return app.run(argv_input.ArgvInput([name, *arguments]))
