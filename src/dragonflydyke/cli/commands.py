"""Commands of `dragonflydyke`."""

import getpass
import re
import sys
from collections.abc import Sequence
from typing import Any

from cleo.helpers import argument, option

from dragonflydyke import configuration
from dragonflydyke.cli import (
    base,
    explanations,
    operations,
    output,
    platform_files,
)
from dragonflydyke.cli.exit_codes import ExitCode, UsageError

_FILES_ARGUMENT = argument(
    "files",
    description="YAML files or directories that form one configuration.",
    multiple=True,
)
_CHECKED_FILES_ARGUMENT = argument(
    "files",
    description="YAML files or directories that form one configuration, or one"
    " JSON file with the configuration of the users' platform.",
    multiple=True,
)
_SETTINGS_OPTION = option(
    "settings",
    description="Settings file of a node on the users' platform. It gives the"
    " data centres, the limits and the store; only with a JSON file.",
    flag=False,
)
_REVISION_OPTION = option(
    "revision",
    description="Number of the revision; default: the current one.",
    flag=False,
)


def _default_operator_name() -> str:
    try:
        name = getpass.getuser()
    except (KeyError, OSError):
        name = "operator"
    # The admin API rejects names with whitespace or `#`; `#` separates the
    # name from the change token.
    return re.sub(r"[\s#]", "_", name)


def _list_problems(error: configuration.UnreadableError) -> str:
    return "\n".join(str(problem) for problem in error.problems)


class ValidateCommand(base.BaseCommand):
    """Validates a configuration locally, without a server."""

    name = "validate"
    description = "Checks a configuration and reports every finding."
    arguments = [_CHECKED_FILES_ARGUMENT]
    options = [
        *base.BaseCommand.options,
        _SETTINGS_OPTION,
        option("strict", description="Fail if there are warnings, too."),
    ]

    def run_command(self) -> ExitCode:
        """Prints the findings and the digest of the configuration."""
        try:
            report = self._check_files()
        except configuration.UnreadableError as error:
            if self.option("output") == "json":
                report = configuration.CheckReport(error.problems)
                self.print_result("", report.to_mapping())
            raise UsageError(_list_problems(error)) from error
        self.print_result(output.format_report(report), report.to_mapping())
        failures = len(report.findings) if self.option("strict") else 0
        if failures or not report.is_valid:
            return ExitCode.REJECTED
        return ExitCode.OK

    def _check_files(self) -> configuration.CheckReport:
        files = self.argument("files")
        settings_file = self.option("settings")
        json_file = platform_files.find_json_file(files)
        if json_file is not None:
            return platform_files.check_file(json_file, settings_file)
        if settings_file:
            raise UsageError("--settings needs a JSON file")
        return configuration.check_files(files)


class ApplyCommand(base.AdminApiCommand):
    """Applies a configuration."""

    name = "apply"
    description = "Applies a configuration to the whole fleet."
    arguments = [_FILES_ARGUMENT]
    options = [
        *base.AdminApiCommand.options,
        option(
            "base-revision",
            description="Revision that the change is based on; the change is"
            " rejected if it is not the current one. Default: the revision"
            " that is current when the command starts.",
            flag=False,
        ),
        option(
            "applied-by",
            description="Name to record in the history; default: your login"
            " name.",
            flag=False,
        ),
    ]

    def run_command(self) -> ExitCode:
        """Applies the files and prints the new revision."""
        document = configuration.load_files(self.argument("files"))
        mapping = configuration.to_mapping(document)
        operator = self.option("applied-by") or _default_operator_name()
        base_revision = self.read_integer_option("base-revision")
        applied = self.run_with_client(
            lambda client: operations.apply_configuration(
                client,
                mapping,
                operator,
                base_revision,
                operations.SETTLE_TIMEOUT_S,
            )
        )
        text = f"revision {applied.revision} applied"
        if applied.read_back:
            text += (
                "; the response was lost and the change was confirmed by"
                " reading it back"
            )
        self.print_result(
            text,
            {
                "revision": applied.revision,
                "change_id": applied.change_id,
                "read_back": applied.read_back,
            },
        )
        return ExitCode.OK


class DiffCommand(base.AdminApiCommand):
    """Compares files with a stored revision."""

    name = "diff"
    description = "Shows what applying a configuration would change."
    arguments = [_CHECKED_FILES_ARGUMENT]
    options = [
        *base.AdminApiCommand.options,
        _REVISION_OPTION,
        _SETTINGS_OPTION,
        option(
            "against",
            description="JSON file to compare a JSON file with, instead of the"
            " configuration in the store.",
            flag=False,
        ),
    ]

    def run_command(self) -> ExitCode:
        """Prints the changes.

        Raises:
            DragonflydykeError: If a change between the two configurations is
                not allowed.
        """
        try:
            json_file = platform_files.find_json_file(self.argument("files"))
            if json_file is not None:
                return self._compare_json_file(json_file)
            new = configuration.load_files(self.argument("files"))
        except configuration.UnreadableError as error:
            raise UsageError(_list_problems(error)) from error
        if self.option("settings") or self.option("against"):
            raise UsageError("--settings and --against need a JSON file")
        revision = self.read_integer_option("revision")
        stored = self.fetch("/v1/configuration", revision=revision)
        old = configuration.parse(stored["document"])
        changes = configuration.diff(old, new)
        self._print_changes(changes, stored["revision"])
        configuration.check_transition(old, new)
        return ExitCode.OK

    def _compare_json_file(self, file: str) -> ExitCode:
        if self.option("revision") or self.option("server"):
            raise UsageError(
                "--revision and --server cannot be used with a JSON file"
            )
        comparison = platform_files.compare_file(
            file, self.option("settings"), self.option("against")
        )
        self._print_changes(comparison.changes, comparison.version)
        return ExitCode.OK

    def _print_changes(
        self, changes: Sequence[configuration.Change], revision: int
    ) -> None:
        lines = [output.format_change(change) for change in changes]
        self.print_result(
            "\n".join(lines) or f"no differences from revision {revision}",
            {
                "revision": revision,
                "changes": [change.to_mapping() for change in changes],
            },
        )


class GetCommand(base.AdminApiCommand):
    """Shows a stored configuration."""

    name = "get"
    description = "Shows a configuration as the platform stores it."
    options = [*base.AdminApiCommand.options, _REVISION_OPTION]

    def run_command(self) -> ExitCode:
        """Prints the document as YAML, with its revision in a comment."""
        revision = self.read_integer_option("revision")
        stored = self.fetch("/v1/configuration", revision=revision)
        time = output.format_time(stored["applied_at_ms"])
        heading = (
            f"# revision {stored['revision']} applied by"
            f" {stored['applied_by']} at {time}"
        )
        document = output.format_yaml(stored["document"])
        self.print_result(f"{heading}\n{document}", stored)
        return ExitCode.OK


class HistoryCommand(base.AdminApiCommand):
    """Lists the stored revisions."""

    name = "history"
    description = "Lists the stored revisions."

    def run_command(self) -> ExitCode:
        """Prints one line per revision."""
        response = self.fetch("/v1/history")
        rows = [
            {**entry, "applied_at": output.format_time(entry["applied_at_ms"])}
            for entry in response["revisions"]
        ]
        columns = ("revision", "applied_at", "applied_by", "change_id")
        self.print_result(output.format_table(columns, rows), response)
        return ExitCode.OK


class StatusCommand(base.AdminApiCommand):
    """Shows the state of the fleet."""

    name = "status"
    description = "Shows the revision and report age of each listed VM."

    def run_command(self) -> ExitCode:
        """Prints the readiness of the router and one line per VM."""
        response = self.fetch("/v1/status")
        ready = (
            "ready" if response["ready"] else f"not ready: {response['reason']}"
        )
        columns = (
            "vm",
            "data_centre",
            "state",
            "revision",
            "age_s",
            "confirmed_age_s",
        )
        table = output.format_table(columns, response["vms"])
        self.print_result(f"{response['vm']}: {ready}\n{table}", response)
        return ExitCode.OK


class WaitCommand(base.AdminApiCommand):
    """Waits until a revision is in force on the fleet."""

    name = "wait"
    description = "Waits until a revision is in force on all listed VMs."
    options = [
        *base.AdminApiCommand.options,
        _REVISION_OPTION,
        option(
            "timeout",
            description="Timeout in seconds.",
            flag=False,
            default="30",
        ),
    ]

    def run_command(self) -> ExitCode:
        """Waits and prints the revision that is in force.

        Raises:
            WaitTimeoutError: If a VM does not have the revision in time.
        """
        revision = self.read_integer_option("revision")
        timeout_s = self.read_integer_option("timeout") or 0
        reached = self.run_with_client(
            lambda client: operations.wait_until_in_force(
                client, revision, timeout_s
            )
        )
        self.print_result(
            f"revision {reached} is in force on all VMs", {"revision": reached}
        )
        return ExitCode.OK


class RolloutsCommand(base.AdminApiCommand):
    """Lists rollouts."""

    name = "roll-outs"
    description = "Shows the state of each rollout."

    def run_command(self) -> ExitCode:
        """Prints one line per rollout."""
        response = self.fetch("/v1/roll-outs")
        rows = [
            {**entry, "since": output.format_time(entry["since_ms"])}
            for entry in response["roll_outs"]
        ]
        columns = ("name", "state", "step", "since", "decided_by", "reason")
        self.print_result(output.format_table(columns, rows), response)
        return ExitCode.OK


class CountersCommand(base.AdminApiCommand):
    """Shows the counters and gauges of one router."""

    name = "counters"
    description = "Shows the counters and gauges of one router."
    options = [
        option(
            "prefix",
            description="Prefix of the names to show, e.g. refusal.",
            flag=False,
            default="",
        ),
        *base.AdminApiCommand.options,
    ]

    def run_command(self) -> ExitCode:
        """Prints one line per counter, then one per gauge."""
        response = self.fetch("/v1/counters")
        prefix = self.option("prefix")
        shown = {
            kind: {
                name: value
                for name, value in sorted(response[kind].items())
                if name.startswith(prefix)
            }
            for kind in ("counters", "gauges")
        }
        rows = [
            {"kind": kind, "name": name, "value": value}
            for kind, values in shown.items()
            for name, value in values.items()
        ]
        columns = ("kind", "name", "value")
        self.print_result(output.format_table(columns, rows), shown)
        return ExitCode.OK


class BillsCommand(base.AdminApiCommand):
    """Shows or checks the bills in the ledger."""

    name = "bills"
    description = (
        "Shows the totals of the bills; with --output json, each bill."
    )
    options = [
        *base.AdminApiCommand.options,
        option(
            "client-account",
            description="Show only the bills of this client account.",
            flag=False,
        ),
        option(
            "check",
            description="Check the ledger for gaps and duplicates instead.",
        ),
    ]

    def run_command(self) -> ExitCode:
        """Prints totals, or with --check the gaps and duplicates."""
        if self.option("check"):
            return self._check_ledger()
        account = self.option("client-account")
        response = self.fetch("/v1/bills", client_account=account)
        self.print_result(
            output.format_bill_totals(response["bills"]), response
        )
        return ExitCode.OK

    def _check_ledger(self) -> ExitCode:
        if self.option("client-account"):
            raise UsageError(
                "--check covers all client accounts and cannot be combined"
                " with --client-account"
            )
        response = self.fetch("/v1/bills", check="true")
        lines = [
            f"{kind[:-1]}: {entry}"
            for kind in ("gaps", "duplicates")
            for entry in response[kind]
        ]
        self.print_result(
            "\n".join(lines) or "no gaps, no duplicates", response
        )
        return ExitCode.REJECTED if lines else ExitCode.OK


class RotateSessionKeysCommand(base.AdminApiCommand):
    """Rotates the session keys."""

    name = "rotate-session-keys"
    description = "Adds a session key and removes the oldest of four."

    def run_command(self) -> ExitCode:
        """Rotates the keys once and prints the id of the newest key.

        Raises:
            DragonflydykeError: With execution UNKNOWN if the response is
                lost; the keys may have been rotated.
        """
        response = self.run_with_client(
            lambda client: client.write("/v1/session-keys/rotate", {})
        )
        key_ids = response["key_ids"]
        self.print_result(
            f"session keys rotated, newest {key_ids[-1]}, {len(key_ids)} keys",
            response,
        )
        return ExitCode.OK


class HashKeyCommand(base.BaseCommand):
    """Hashes a bearer key."""

    name = "hash-key"
    description = "Prints the hash of a bearer key from standard input."

    def run_command(self) -> ExitCode:
        """Prints the hash of the key on the first line of standard input.

        The key is not an argument, so that it does not appear in the shell
        history.
        """
        hashed = configuration.hash_key(
            base.parse_bearer_key(sys.stdin.readline())
        )
        self.print_result(hashed, {"key_hash": hashed})
        return ExitCode.OK


def build_commands() -> list[Any]:
    """Returns an instance of each command."""
    return [
        ValidateCommand(),
        ApplyCommand(),
        DiffCommand(),
        GetCommand(),
        HistoryCommand(),
        StatusCommand(),
        WaitCommand(),
        RolloutsCommand(),
        CountersCommand(),
        BillsCommand(),
        RotateSessionKeysCommand(),
        HashKeyCommand(),
        explanations.ExplainCommand(),
    ]
