"""Main program of `dragonflydyke`."""

import sys
from collections.abc import Sequence

from cleo import application
from cleo.commands import completions_command
from cleo.exceptions import CleoError
from cleo.io.inputs import argv_input
from cleo.io.outputs import output as cleo_output

import dragonflydyke
from dragonflydyke.cli import commands
from dragonflydyke.cli.exit_codes import ExitCode

_NAME = "dragonflydyke"


def main(
    arguments: Sequence[str] | None = None,
    output: cleo_output.Output | None = None,
    error_output: cleo_output.Output | None = None,
) -> int:
    """Runs a command and returns its exit code.

    Args:
        arguments: Command line without the program name; None for sys.argv.
        output: Receives the output; None for standard output.
        error_output: Receives error messages; None for standard error.
    """
    frame = application.Application(_NAME, dragonflydyke.__version__)
    frame.auto_exits(False)
    # Otherwise cleo reports usage errors as exit code 1, which means refused.
    frame.catch_exceptions(False)
    frame.add(completions_command.CompletionsCommand())
    for command in commands.build_commands():
        frame.add(command)
    given = sys.argv[1:] if arguments is None else arguments
    try:
        return frame.run(
            argv_input.ArgvInput([_NAME, *given]), output, error_output
        )
    except CleoError as error:
        text = f"{error}; see `{_NAME} --help`"
        if error_output is None:
            print(text, file=sys.stderr)
        else:
            error_output.write_line(text, type=cleo_output.Type.RAW)
        return int(ExitCode.USAGE)


if __name__ == "__main__":
    sys.exit(main())
