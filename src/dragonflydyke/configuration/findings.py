"""Warnings about a valid configuration, and the result of a check.

The loader rejects what the router cannot use; these problems are errors. A
warning concerns an entry that the router accepts and that has no effect or
contradicts another entry. The checks look entries up in the loaded document
with the same methods as the router.
"""

import dataclasses
from collections.abc import Iterator
from typing import Any

from dragonflydyke.configuration import model, problems


@dataclasses.dataclass(slots=True, frozen=True)
class CheckReport:
    """Result of a check.

    Attributes:
        findings: Errors and warnings.
        digest: Digest of the configuration, empty if it has errors.
    """

    findings: tuple[problems.Problem, ...]
    digest: str = ""

    @property
    def is_valid(self) -> bool:
        """Whether the router accepts the configuration."""
        return not self.count(problems.Severity.ERROR)

    def to_mapping(self) -> dict[str, Any]:
        """Returns the JSON value of the report."""
        return {
            "valid": self.is_valid,
            "digest": self.digest,
            "findings": [dataclasses.asdict(found) for found in self.findings],
        }

    def count(self, severity: problems.Severity) -> int:
        """Returns the number of findings of a severity."""
        return sum(found.severity is severity for found in self.findings)


class WarningList(problems.ProblemList):
    """Collects warnings, which need a code."""

    __slots__ = ()

    def warn(
        self,
        code: str,
        path: problems.Path,
        value: object,
        message: str,
        fix: str,
    ) -> None:
        """Adds a warning; the arguments are those of `add`."""
        self.add(
            path,
            value,
            message,
            fix,
            code=code,
            severity=problems.Severity.WARNING,
        )


def find_warnings(
    document: model.Document, locations: problems.Locations | None = None
) -> tuple[problems.Problem, ...]:
    """Returns the warnings about a valid configuration.

    Args:
        document: The configuration.
        locations: File and line of each node, for the reports.
    """
    found = WarningList(locations)
    _check_data_centres(document, found)
    _check_versions(document, found)
    _check_services(document, found)
    _check_cascades(document, found)
    _check_servers(document, found)
    _check_classes(document, found)
    _check_accounts(document, found)
    _check_roll_outs(document, found)
    _check_policy(document, found)
    return found.sort()


def _iterate_versions(
    document: model.Document,
) -> Iterator[tuple[problems.Path, model.Model, model.Version]]:
    for index, entry in enumerate(document.models):
        for position, version in enumerate(entry.versions):
            yield ("models", index, "versions", position), entry, version


def _check_data_centres(document: model.Document, found: WarningList) -> None:
    used = {
        server.data_centre
        for server in document.backend_servers
        if server.state is model.ServerState.ACTIVE
    }
    for index, entry in enumerate(document.data_centres):
        if entry.name not in used:
            found.warn(
                "data_centre_unserved",
                ("data_centres", index),
                entry.name,
                "has no active backend server",
                "add a server or remove the data centre",
            )


def _check_versions(document: model.Document, found: WarningList) -> None:
    for path, entry, version in _iterate_versions(document):
        if version.state is model.VersionState.WITHDRAWN:
            continue
        full_name = model.version_id(entry.name, version.name)
        if not document.engines_for_version(entry.name, version.name):
            found.warn(
                "version_unserved",
                path,
                full_name,
                f"is {version.state.value}, but no active engine serves it",
                "add it to an engine or withdraw it",
            )
        if not any(
            account.allows_version(entry.name, version.name)
            for account in document.client_accounts
        ):
            found.warn(
                "version_unreachable",
                path,
                full_name,
                "is allowed to no client account, so no request selects it",
                "allow it to an account or withdraw it",
            )


def _check_services(document: model.Document, found: WarningList) -> None:
    allowed = {
        name
        for account in document.client_accounts
        for name in account.services
    }
    for index, entry in enumerate(document.services):
        if not document.servers_for_service(entry.name):
            found.warn(
                "service_unserved",
                ("services", index),
                entry.name,
                "has no active backend server",
                "add a server or remove the service",
            )
        if entry.name not in allowed:
            found.warn(
                "service_unreachable",
                ("services", index),
                entry.name,
                "is allowed to no client account, so no request selects it",
                "allow it to an account or remove it",
            )


def _check_cascades(document: model.Document, found: WarningList) -> None:
    allowed = {
        name
        for account in document.client_accounts
        for name in account.cascades
    }
    for index, entry in enumerate(document.cascades):
        if entry.name not in allowed:
            found.warn(
                "cascade_unreachable",
                ("cascades", index),
                entry.name,
                "is allowed to no client account, so no request selects it",
                "allow it to an account or remove it",
            )


def _check_servers(document: model.Document, found: WarningList) -> None:
    for index, server in enumerate(document.backend_servers):
        if server.kind is not model.ServerKind.ENGINE:
            continue
        versions = [
            document.version(*model.split_version_id(name))
            for name in server.serves
        ]
        if all(
            version is None or version.state is model.VersionState.WITHDRAWN
            for version in versions
        ):
            found.warn(
                "server_unused",
                ("backend_servers", index, "serves"),
                ", ".join(server.serves),
                "are all withdrawn, so the server receives no request",
                "add a version in use or remove the server",
            )


def _check_classes(document: model.Document, found: WarningList) -> None:
    active = [
        version
        for _, _, version in _iterate_versions(document)
        if version.state is model.VersionState.ACTIVE
    ]
    for index, entry in enumerate(document.classes):
        path = ("classes", index)
        best = max(
            (version.quality.get(entry.name, 0.0) for version in active),
            default=None,
        )
        if best is not None and best < entry.quality_target:
            found.warn(
                "quality_unreachable",
                (*path, "quality_target"),
                entry.quality_target,
                f"is above the best rating of an active version ({best})",
                "lower the target or add a better version",
            )
        if entry.may_wait_s >= entry.deadline_s:
            found.warn(
                "wait_exceeds_deadline",
                (*path, "may_wait_s"),
                entry.may_wait_s,
                "leaves no time for the response before deadline_s"
                f" ({entry.deadline_s})",
                "give a value well below deadline_s",
            )


def _check_accounts(document: model.Document, found: WarningList) -> None:
    for index, account in enumerate(document.client_accounts):
        path = ("client_accounts", index, "limits", "concurrent_requests")
        slots = _count_slots(document, account)
        limit = account.limits.concurrent_requests
        if 0 < slots < limit:
            found.warn(
                "account_exceeds_capacity",
                path,
                limit,
                f"is above the {slots} slots of all servers that the account"
                " may use, so it can fill all of them",
                "lower the limit or add servers",
            )


def _count_slots(document: model.Document, account: model.ClientAccount) -> int:
    slots = {
        server.name: server.slots
        for entry in document.models
        for version in entry.versions
        if version.state is not model.VersionState.WITHDRAWN
        and account.allows_version(entry.name, version.name)
        for server in document.engines_for_version(entry.name, version.name)
    }
    slots |= {
        server.name: server.slots
        for name in account.services
        for server in document.servers_for_service(name)
    }
    return sum(slots.values())


def _check_roll_outs(document: model.Document, found: WarningList) -> None:
    for index, entry in enumerate(document.roll_outs):
        for field in ("from_version", "to_version"):
            version = document.version(entry.model, getattr(entry, field))
            if version and version.state is not model.VersionState.ACTIVE:
                found.warn(
                    "roll_out_blocked",
                    ("roll_outs", index, field),
                    version.name,
                    f"is {version.state.value}, so no new session gets it",
                    "name an active version or remove the rollout",
                )


def _check_policy(document: model.Document, found: WarningList) -> None:
    policy = document.policy
    longest_s = max(entry.deadline_s for entry in document.classes)
    if policy.body_timeout_s > longest_s:
        found.warn(
            "timeout_above_deadline",
            ("policy", "body_timeout_s"),
            policy.body_timeout_s,
            f"is above the longest deadline_s of a class ({longest_s})",
            "lower it to the longest deadline",
        )
    if policy.max_attempts > 1 and policy.retry_budget_share == 0:
        found.warn(
            "attempts_without_budget",
            ("policy", "max_attempts"),
            policy.max_attempts,
            "allows retries, but retry_budget_share is 0",
            "set max_attempts to 1 or give a retry budget",
        )
    if policy.max_attempts == 1 and policy.retry_budget_share > 0:
        found.warn(
            "budget_without_attempts",
            ("policy", "retry_budget_share"),
            policy.retry_budget_share,
            "has no effect, because max_attempts is 1",
            "raise max_attempts or set the budget to 0",
        )
