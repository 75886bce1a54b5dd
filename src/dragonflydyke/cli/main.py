"""Entry point of the `dragonflydyke` command."""

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

_PROGRAM_NAME = "dragonflydyke"


def main(
    arguments: Sequence[str] | None = None,
    output: cleo_output.Output | None = None,
    error_output: cleo_output.Output | None = None,
) -> int:
    """Runs a command and returns its exit code.

    Args:
        arguments: Command line without the program name; None uses sys.argv.
        output: Destination of the output; None uses standard output.
        error_output: Destination of error messages; None uses standard error.
    """
    app = application.Application(_PROGRAM_NAME, dragonflydyke.__version__)
    app.auto_exits(False)
    # If cleo caught exceptions, it would exit with 1 on usage errors, which is
    # ExitCode.REJECTED here.
    app.catch_exceptions(False)
    app.add(completions_command.CompletionsCommand())
    for command in commands.build_commands():
        app.add(command)
    command_line = sys.argv[1:] if arguments is None else arguments
    try:
        return app.run(
            argv_input.ArgvInput([_PROGRAM_NAME, *command_line]),
            output,
            error_output,
        )
    except CleoError as error:
        text = f"{error}; see `{_PROGRAM_NAME} --help`"
        if error_output is None:
            print(text, file=sys.stderr)
        else:
            error_output.write_line(text, type=cleo_output.Type.RAW)
        return int(ExitCode.USAGE)


if __name__ == "__main__":
    sys.exit(main())
