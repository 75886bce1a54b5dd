"""The commands of `dragonflydyke`."""

import getpass
import re
import sys
from typing import Any

from cleo.helpers import argument, option

from dragonflydyke import configuration
from dragonflydyke.cli import base, explanations, operations, output
from dragonflydyke.cli.exit_codes import ExitCode, UsageError

_FILES_ARGUMENT = argument(
    "files",
    description="YAML files or directories of one configuration.",
    multiple=True,
)
_REVISION_OPTION = option(
    "revision",
    description="Revision; the current one by default.",
    flag=False,
)


def _default_operator_name() -> str:
    try:
        name = getpass.getuser()
    except (KeyError, OSError):
        name = "operator"
    return re.sub(r"[\s#]", "_", name)


class ValidateCommand(base.BaseCommand):
    """Checks files without a server."""

    name = "validate"
    description = "Checks a configuration and reports every problem."
    arguments = [_FILES_ARGUMENT]

    def run_command(self) -> ExitCode:
        """Loads the files."""
        document = configuration.load_files(self.argument("files"))
        mapping = configuration.to_mapping(document)
        digest = configuration.digest(mapping)
        self.print_result(f"valid, digest {digest}", {"digest": digest})
        return ExitCode.OK


class ApplyCommand(base.AdminApiCommand):
    """Applies files."""

    name = "apply"
    description = "Applies a configuration to the whole fleet."
    arguments = [_FILES_ARGUMENT]
    options = [
        *base.AdminApiCommand.options,
        option(
            "base-revision",
            description="Revision that you last saw; the change is refused if"
            " it is not the current one. Read before the change by default.",
            flag=False,
        ),
        option(
            "applied-by",
            description="Name for the history; your login name by default.",
            flag=False,
        ),
    ]

    def run_command(self) -> ExitCode:
        """Applies the files and reports the revision."""
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
            text += "; the answer was lost and the change was read back"
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
    arguments = [_FILES_ARGUMENT]
    options = [*base.AdminApiCommand.options, _REVISION_OPTION]

    def run_command(self) -> ExitCode:
        """Shows the changes and refuses forbidden ones."""
        new = configuration.load_files(self.argument("files"))
        revision = self.read_integer_option("revision")
        stored = self.fetch("/v1/configuration", revision=revision)
        old = configuration.parse(stored["document"])
        changes = configuration.diff(old, new)
        lines = [output.format_change(change) for change in changes]
        self.print_result(
            "\n".join(lines) or f"no changes to revision {stored['revision']}",
            {
                "revision": stored["revision"],
                "changes": [change.to_mapping() for change in changes],
            },
        )
        configuration.check_transition(old, new)
        return ExitCode.OK


class GetCommand(base.AdminApiCommand):
    """Shows a stored configuration."""

    name = "get"
    description = "Shows a configuration as the platform stores it."
    options = [*base.AdminApiCommand.options, _REVISION_OPTION]

    def run_command(self) -> ExitCode:
        """Shows the document as YAML, with its revision as a comment."""
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
    """Shows the history."""

    name = "history"
    description = "Lists the stored revisions."

    def run_command(self) -> ExitCode:
        """Shows one line per revision."""
        answer = self.fetch("/v1/history")
        rows = [
            {**entry, "applied_at": output.format_time(entry["applied_at_ms"])}
            for entry in answer["revisions"]
        ]
        columns = ("revision", "applied_at", "applied_by", "change_id")
        self.print_result(output.format_table(columns, rows), answer)
        return ExitCode.OK


class StatusCommand(base.AdminApiCommand):
    """Shows the fleet."""

    name = "status"
    description = "Shows the revision and age of each listed VM."

    def run_command(self) -> ExitCode:
        """Shows one line per VM."""
        answer = self.fetch("/v1/status")
        ready = "ready" if answer["ready"] else f"not ready: {answer['reason']}"
        columns = (
            "vm",
            "data_centre",
            "state",
            "revision",
            "age_s",
            "confirmed_age_s",
        )
        table = output.format_table(columns, answer["vms"])
        self.print_result(f"{answer['vm']}: {ready}\n{table}", answer)
        return ExitCode.OK


class WaitCommand(base.AdminApiCommand):
    """Waits for a revision."""

    name = "wait"
    description = "Waits until a revision is in force on all listed VMs."
    options = [
        *base.AdminApiCommand.options,
        _REVISION_OPTION,
        option(
            "timeout",
            description="Seconds to wait.",
            flag=False,
            default="30",
        ),
    ]

    def run_command(self) -> ExitCode:
        """Waits and reports the revision."""
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
    """Shows roll-outs."""

    name = "roll-outs"
    description = "Shows the state of each roll-out."

    def run_command(self) -> ExitCode:
        """Shows one line per roll-out."""
        answer = self.fetch("/v1/roll-outs")
        rows = [
            {**entry, "since": output.format_time(entry["since_ms"])}
            for entry in answer["roll_outs"]
        ]
        columns = ("name", "state", "step", "since", "decided_by", "reason")
        self.print_result(output.format_table(columns, rows), answer)
        return ExitCode.OK


class CountersCommand(base.AdminApiCommand):
    """Shows counters of one router."""

    name = "counters"
    description = "Shows the counters and gauges of one router."
    options = [
        option(
            "prefix",
            description="Beginning of the names to show, e.g. refusal.",
            flag=False,
            default="",
        ),
        *base.AdminApiCommand.options,
    ]

    def run_command(self) -> ExitCode:
        """Shows one line per counter, then one per gauge."""
        answer = self.fetch("/v1/counters")
        prefix = self.option("prefix")
        shown = {
            kind: {
                name: value
                for name, value in sorted(answer[kind].items())
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
    """Shows bills."""

    name = "bills"
    description = "Shows the totals of the bills, as JSON each bill."
    options = [
        *base.AdminApiCommand.options,
        option(
            "client-account",
            description="Only this client account.",
            flag=False,
        ),
        option("check", description="Looks for gaps and duplicates instead."),
    ]

    def run_command(self) -> ExitCode:
        """Shows totals, or the faults of the ledger."""
        if self.option("check"):
            return self._check_ledger()
        account = self.option("client-account")
        answer = self.fetch("/v1/bills", client_account=account)
        self.print_result(output.format_bill_totals(answer["bills"]), answer)
        return ExitCode.OK

    def _check_ledger(self) -> ExitCode:
        if self.option("client-account"):
            raise UsageError("--check covers all accounts; drop the account")
        answer = self.fetch("/v1/bills", check="true")
        lines = [
            f"{kind[:-1]}: {entry}"
            for kind in ("gaps", "duplicates")
            for entry in answer[kind]
        ]
        self.print_result("\n".join(lines) or "no gaps, no duplicates", answer)
        return ExitCode.REJECTED if lines else ExitCode.OK


class RotateSessionKeysCommand(base.AdminApiCommand):
    """Rotates the session keys."""

    name = "rotate-session-keys"
    description = "Adds a session key and drops the oldest of four."

    def run_command(self) -> ExitCode:
        """Rotates once; a lost answer leaves the outcome unknown."""
        answer = self.run_with_client(
            lambda client: client.write("/v1/session-keys/rotate", {})
        )
        key_ids = answer["key_ids"]
        self.print_result(
            f"session keys rotated, newest {key_ids[-1]}, {len(key_ids)} keys",
            answer,
        )
        return ExitCode.OK


class HashKeyCommand(base.BaseCommand):
    """Hashes a bearer key."""

    name = "hash-key"
    description = "Prints the hash of a bearer key from standard input."

    def run_command(self) -> ExitCode:
        """Reads one line, so that the key is in no shell history."""
        hashed = configuration.hash_key(
            base.parse_bearer_key(sys.stdin.readline())
        )
        self.print_result(hashed, {"key_hash": hashed})
        return ExitCode.OK


def build_commands() -> list[Any]:
    """Returns one instance of each command."""
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
