"""The commands of `dragonflydyke`."""

import getpass
import re
import sys
from typing import Any

from cleo.helpers import argument, option

from dragonflydyke import configuration
from dragonflydyke.cli import base, explanations, operations, output
from dragonflydyke.cli.exit_codes import ExitCode, UsageError

_FILES = argument(
    "files",
    description="YAML files or directories of one configuration.",
    multiple=True,
)
_REVISION = option(
    "revision",
    description="Revision; the current one by default.",
    flag=False,
)


def _default_operator() -> str:
    try:
        name = getpass.getuser()
    except (KeyError, OSError):
        name = "operator"
    return re.sub(r"[\s#]", "_", name)


class ValidateCommand(base.BaseCommand):
    """Checks files without a server."""

    name = "validate"
    description = "Checks a configuration and reports every problem."
    arguments = [_FILES]

    def run_command(self) -> ExitCode:
        """Loads the files."""
        document = configuration.load_files(self.argument("files"))
        mapping = configuration.to_mapping(document)
        digest = configuration.digest(mapping)
        self.show(f"valid, digest {digest}", {"digest": digest})
        return ExitCode.OK


class ApplyCommand(base.ServerCommand):
    """Applies files."""

    name = "apply"
    description = "Applies a configuration to the whole fleet."
    arguments = [_FILES]
    options = [
        *base.ServerCommand.options,
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
        operator = self.option("applied-by") or _default_operator()
        base_revision = self.read_number("base-revision")
        applied = self.call(
            lambda client: operations.apply(
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
        self.show(
            text,
            {
                "revision": applied.revision,
                "change_id": applied.change_id,
                "read_back": applied.read_back,
            },
        )
        return ExitCode.OK


class DiffCommand(base.ServerCommand):
    """Compares files with a stored revision."""

    name = "diff"
    description = "Shows what applying a configuration would change."
    arguments = [_FILES]
    options = [*base.ServerCommand.options, _REVISION]

    def run_command(self) -> ExitCode:
        """Shows the changes and refuses forbidden ones."""
        new = configuration.load_files(self.argument("files"))
        revision = self.read_number("revision")
        stored = self.read("/v1/configuration", revision=revision)
        old = configuration.parse(stored["document"])
        changes = configuration.diff(old, new)
        lines = [output.format_change(change) for change in changes]
        self.show(
            "\n".join(lines) or f"no changes to revision {stored['revision']}",
            {
                "revision": stored["revision"],
                "changes": [change.to_mapping() for change in changes],
            },
        )
        configuration.check_transition(old, new)
        return ExitCode.OK


class GetCommand(base.ServerCommand):
    """Shows a stored configuration."""

    name = "get"
    description = "Shows a configuration as the platform stores it."
    options = [*base.ServerCommand.options, _REVISION]

    def run_command(self) -> ExitCode:
        """Shows the document as YAML, with its revision as a comment."""
        revision = self.read_number("revision")
        stored = self.read("/v1/configuration", revision=revision)
        time = output.format_time(stored["applied_at_ms"])
        heading = (
            f"# revision {stored['revision']} applied by"
            f" {stored['applied_by']} at {time}"
        )
        document = output.format_yaml(stored["document"])
        self.show(f"{heading}\n{document}", stored)
        return ExitCode.OK


class HistoryCommand(base.ServerCommand):
    """Shows the history."""

    name = "history"
    description = "Lists the stored revisions."

    def run_command(self) -> ExitCode:
        """Shows one line per revision."""
        answer = self.read("/v1/history")
        rows = [
            {**entry, "applied_at": output.format_time(entry["applied_at_ms"])}
            for entry in answer["revisions"]
        ]
        columns = ("revision", "applied_at", "applied_by", "change_id")
        self.show(output.format_table(columns, rows), answer)
        return ExitCode.OK


class StatusCommand(base.ServerCommand):
    """Shows the fleet."""

    name = "status"
    description = "Shows the revision and age of each listed VM."

    def run_command(self) -> ExitCode:
        """Shows one line per VM."""
        answer = self.read("/v1/status")
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
        self.show(f"{answer['vm']}: {ready}\n{table}", answer)
        return ExitCode.OK


class WaitCommand(base.ServerCommand):
    """Waits for a revision."""

    name = "wait"
    description = "Waits until a revision is in force on all listed VMs."
    options = [
        *base.ServerCommand.options,
        _REVISION,
        option(
            "timeout",
            description="Seconds to wait.",
            flag=False,
            default="30",
        ),
    ]

    def run_command(self) -> ExitCode:
        """Waits and reports the revision."""
        revision = self.read_number("revision")
        timeout_s = self.read_number("timeout") or 0
        reached = self.call(
            lambda client: operations.wait(client, revision, timeout_s)
        )
        self.show(
            f"revision {reached} is in force on all VMs", {"revision": reached}
        )
        return ExitCode.OK


class RollOutsCommand(base.ServerCommand):
    """Shows roll-outs."""

    name = "roll-outs"
    description = "Shows the state of each roll-out."

    def run_command(self) -> ExitCode:
        """Shows one line per roll-out."""
        answer = self.read("/v1/roll-outs")
        rows = [
            {**entry, "since": output.format_time(entry["since_ms"])}
            for entry in answer["roll_outs"]
        ]
        columns = ("name", "state", "step", "since", "decided_by", "reason")
        self.show(output.format_table(columns, rows), answer)
        return ExitCode.OK


class CountersCommand(base.ServerCommand):
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
        *base.ServerCommand.options,
    ]

    def run_command(self) -> ExitCode:
        """Shows one line per counter, then one per gauge."""
        answer = self.read("/v1/counters")
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
        self.show(output.format_table(columns, rows), shown)
        return ExitCode.OK


class BillsCommand(base.ServerCommand):
    """Shows bills."""

    name = "bills"
    description = "Shows the totals of the bills, as JSON each bill."
    options = [
        *base.ServerCommand.options,
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
            return self._check()
        account = self.option("client-account")
        answer = self.read("/v1/bills", client_account=account)
        self.show(output.format_bills(answer["bills"]), answer)
        return ExitCode.OK

    def _check(self) -> ExitCode:
        if self.option("client-account"):
            raise UsageError("--check covers all accounts; drop the account")
        answer = self.read("/v1/bills", check="true")
        lines = [
            f"{kind[:-1]}: {entry}"
            for kind in ("gaps", "duplicates")
            for entry in answer[kind]
        ]
        self.show("\n".join(lines) or "no gaps, no duplicates", answer)
        return ExitCode.REFUSED if lines else ExitCode.OK


class RotateSessionKeysCommand(base.ServerCommand):
    """Rotates the session keys."""

    name = "rotate-session-keys"
    description = "Adds a session key and drops the oldest of four."

    def run_command(self) -> ExitCode:
        """Rotates once; a lost answer leaves the outcome unknown."""
        answer = self.call(
            lambda client: client.write("/v1/session-keys/rotate", {})
        )
        key_ids = answer["key_ids"]
        self.show(
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
        hashed = configuration.hash_key(base.check_key(sys.stdin.readline()))
        self.show(hashed, {"key_hash": hashed})
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
        RollOutsCommand(),
        CountersCommand(),
        BillsCommand(),
        RotateSessionKeysCommand(),
        HashKeyCommand(),
        explanations.ExplainCommand(),
    ]
