"""Base classes of the commands: shared options, connection and exit codes."""

import asyncio
import json
import os
import pathlib
import ssl
from collections.abc import Awaitable, Callable
from typing import Any, ClassVar

from cleo.commands import command
from cleo.helpers import option
from cleo.io.inputs import option as cleo_option
from cleo.io.outputs import output as cleo_output

from dragonflydyke import errors, settings
from dragonflydyke.cli import client as admin_client
from dragonflydyke.cli import exit_codes

OPERATOR_KEY_VARIABLE = "DRAGONFLYDYKE_OPERATOR_KEY"
SERVER_VARIABLE = "DRAGONFLYDYKE_SERVER"
AUTHORITY_FILE_VARIABLE = "DRAGONFLYDYKE_AUTHORITY_FILE"

OUTPUT_OPTION = option(
    "output",
    description="Format of the output: text or json.",
    flag=False,
    default="text",
)
SERVER_OPTIONS = [
    option(
        "server",
        description="Admin URL of a router. Repeat the option to list further"
        " routers, which are tried in order when a connection fails."
        f" [{SERVER_VARIABLE}, comma-separated]",
        flag=False,
        multiple=True,
    ),
    option(
        "operator-key-file",
        description="File that contains the operator key."
        f" [{OPERATOR_KEY_VARIABLE} contains the key itself]",
        flag=False,
    ),
    option(
        "authority-file",
        description="PEM file of the certificate authority that signed the"
        f" routers' certificates, for https URLs. [{AUTHORITY_FILE_VARIABLE}]",
        flag=False,
    ),
]


class BaseCommand(command.Command):
    """A command that reports errors as a message and an exit code."""

    options: ClassVar[list[cleo_option.Option]] = [OUTPUT_OPTION]

    def run_command(self) -> exit_codes.ExitCode:
        """Runs the command and returns its exit code.

        Raises:
            DragonflydykeError: If the operation fails or is rejected.
            UsageError: If an option, argument or variable is invalid.
            WaitTimeoutError: If a wait exceeds its timeout.
        """
        raise NotImplementedError

    def handle(self) -> int:
        """Runs the command and returns the exit code as an integer."""
        try:
            if self.option("output") not in ("text", "json"):
                raise exit_codes.UsageError("--output must be text or json")
            return int(self.run_command())
        except (
            errors.DragonflydykeError,
            exit_codes.UsageError,
            exit_codes.WaitTimeoutError,
        ) as error:
            self.print_error(str(error))
            return int(exit_codes.exit_code_for(error))

    def print_result(self, text: str, value: Any) -> None:
        """Prints `text`, or `value` as JSON with --output json."""
        if self.option("output") == "json":
            text = json.dumps(value, indent=2)
        # Raw output, because cleo interprets <words> in the text as markup.
        self.io.write_line(text, type=cleo_output.Type.RAW)

    def print_error(self, text: str) -> None:
        """Prints a message to standard error."""
        self.io.write_error_line(text, type=cleo_output.Type.RAW)

    def read_integer_option(self, name: str) -> int | None:
        """Returns a non-negative integer option, or None if it is not given.

        Raises:
            UsageError: If the text contains anything but ASCII digits.
        """
        text = self.option(name)
        if text is None:
            return None
        if not (text.isascii() and text.isdigit()):
            raise exit_codes.UsageError(
                f"--{name}: {text!r} is not a non-negative integer"
            )
        return int(text)


class AdminApiCommand(BaseCommand):
    """A command that calls the admin API."""

    options: ClassVar[list[cleo_option.Option]] = [
        OUTPUT_OPTION,
        *SERVER_OPTIONS,
    ]

    def run_with_client(
        self, operation: Callable[[admin_client.AdminClient], Awaitable[Any]]
    ) -> Any:
        """Runs `operation` with an admin client and returns its result.

        The client is closed when the operation has finished.
        """
        servers = self._read_servers()
        operator_key = self._read_operator_key()
        authority_file = self._read_authority_file()

        async def run() -> Any:
            client = admin_client.AdminClient(
                servers, operator_key, authority_file
            )
            try:
                return await operation(client)
            finally:
                client.close()

        return asyncio.run(run())

    def fetch(self, path: str, **query: str | int | None) -> Any:
        """Returns the JSON content of one resource of the admin API."""
        return self.run_with_client(lambda client: client.read(path, **query))

    def _read_servers(self) -> tuple[str, ...]:
        servers = self.option("server")
        if not servers:
            servers = os.environ.get(SERVER_VARIABLE, "").split(",")
        servers = [server.strip() for server in servers if server.strip()]
        if not servers:
            raise exit_codes.UsageError(
                f"no admin URL given; set --server or {SERVER_VARIABLE}"
            )
        try:
            return tuple(settings.parse_url(server) for server in servers)
        except ValueError as error:
            raise exit_codes.UsageError(f"--server: {error}") from error

    def _read_operator_key(self) -> str:
        file = self.option("operator-key-file")
        key = os.environ.get(OPERATOR_KEY_VARIABLE, "")
        if file:
            try:
                key = pathlib.Path(file).read_text(encoding="utf-8")
            except (OSError, UnicodeDecodeError) as error:
                raise exit_codes.UsageError(
                    f"--operator-key-file: {error}"
                ) from error
        return parse_bearer_key(key)

    def _read_authority_file(self) -> str | None:
        file = self.option("authority-file")
        file = file or os.environ.get(AUTHORITY_FILE_VARIABLE)
        if not file:
            return None
        try:
            ssl.create_default_context(cafile=file)
        except OSError as error:
            raise exit_codes.UsageError(
                f"--authority-file: {file!r} is not a PEM certificate file"
                f" ({error})"
            ) from error
        return file


def parse_bearer_key(text: str) -> str:
    """Returns a bearer key without surrounding whitespace.

    Raises:
        UsageError: If the key is empty, not ASCII, or contains a space or
            a control character.
    """
    key = text.strip()
    if not key or not key.isascii() or not key.isprintable() or " " in key:
        raise exit_codes.UsageError(
            "the bearer key must be one line of printable ASCII without"
            f" spaces; set --operator-key-file or {OPERATOR_KEY_VARIABLE}"
        )
    return key
