"""Interfaces of the admin API to the other parts of the router."""

import dataclasses
import re
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, Protocol

from dragonflydyke import errors, metrics
from dragonflydyke.rollouts import model as rollouts_model

_OPERATOR_PATTERN = re.compile(r"[^\s#]{1,100}")
_CHANGE_TOKEN_PATTERN = re.compile(r"[0-9a-f]{32}")


@dataclasses.dataclass(slots=True, frozen=True)
class AppliedChange:
    """A change of the configuration that is stored durably.

    Attributes:
        revision: Revision of the new configuration.
        change_id: Identifier that the router gave the change.
    """

    revision: int
    change_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class StoredRevision:
    """A configuration as stored on the platform.

    Attributes:
        revision: Number of the revision.
        document: The configuration.
        applied_at_ms: Unix time in milliseconds.
        applied_by: Operator and change token; see `split_applied_by`.
        change_id: Identifier of the change.
    """

    revision: int
    document: Mapping[str, Any]
    applied_at_ms: int
    applied_by: str
    change_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class RevisionSummary:
    """A revision in the history, without its document.

    Attributes:
        revision: Number of the revision.
        applied_at_ms: Unix time in milliseconds.
        applied_by: Operator and change token; see `split_applied_by`.
        change_id: Identifier of the change.
    """

    revision: int
    applied_at_ms: int
    applied_by: str
    change_id: str


class ConfigurationWriter(Protocol):
    """Writes and reads configurations; see `membership.writer`."""

    async def apply(
        self,
        mapping: Mapping[str, Any],
        applied_by: str,
        base_revision: int | None = None,
    ) -> AppliedChange:
        """Validates and applies a configuration.

        Args:
            mapping: The complete document.
            applied_by: Stored with the revision, unchanged.
            base_revision: Revision that must be the current one: 0 if there
                must be none yet, None if any is accepted.

        Raises:
            DragonflydykeError: `revision_conflict` with status 409, or an
                error with execution UNKNOWN if the outcome is unknown.
        """

    async def read(self, revision: int | None = None) -> StoredRevision:
        """Reads a revision from the platform.

        Args:
            revision: Number of the revision, None for the current one.

        Raises:
            DragonflydykeError: With status 404 if the revision does not exist.
        """

    async def history(self) -> Sequence[RevisionSummary]:
        """Returns the earlier revisions; may include the current one."""


@dataclasses.dataclass(slots=True, frozen=True)
class VmStatus:
    """State of a VM in the VM list, as far as a router knows it.

    Attributes:
        vm: Name of the VM.
        data_centre: Data centre in which it runs.
        state: `serving`, `leaving`, or `not heard` without a recent report.
        revision: Revision in force on it, None if it has sent no report.
        age_s: Seconds since its newest report, None if it has sent none.
        confirmed_age_s: Seconds since the platform confirmed its state, None
            if that is not known.
    """

    vm: str
    data_centre: str
    state: str
    revision: int | None
    age_s: float | None
    confirmed_age_s: float | None


@dataclasses.dataclass(slots=True, frozen=True)
class FleetStatus:
    """State of the fleet from the view of one router.

    Attributes:
        vm: Name of the VM of this router.
        revision: Revision in force on it, None before the first.
        ready: Whether it accepts new requests.
        reason: Why it is not ready, empty if it is.
        vms: One row for each entry VM in the VM list.
    """

    vm: str
    revision: int | None
    ready: bool
    reason: str
    vms: tuple[VmStatus, ...]


class FleetStatusProvider(Protocol):
    """Reports the state of the fleet without remote calls."""

    def status(self) -> FleetStatus:
        """Returns the current state."""


class BillRecord(Protocol):
    """Bill of a request; see `billing.model`."""

    def to_mapping(self) -> dict[str, Any]:
        """Returns the JSON value of the bill."""


class LedgerCheck(Protocol):
    """Inconsistencies of the ledger.

    The values are converted by `responses.to_json`.
    """

    @property
    def gaps(self) -> Sequence[Any]:
        """Missing bills or journal entries."""

    @property
    def duplicates(self) -> Sequence[Any]:
        """Bills that occur more than once in a journal."""


class BillsReader(Protocol):
    """Reads bills from the platform; see `billing.ledger`."""

    async def read(self, account: str | None = None) -> Iterable[BillRecord]:
        """Returns the charged bills, one for each bill_id.

        Args:
            account: Name of a client account, None for all.
        """

    async def check(self) -> LedgerCheck:
        """Checks all journals for gaps and duplicates."""


class SessionKeys(Protocol):
    """Rotates the session keys; see `membership.keys`."""

    async def rotate(self) -> Sequence[str]:
        """Adds a key and returns the key ids, oldest first.

        Raises:
            DragonflydykeError: If the keys were not rotated; with execution
                UNKNOWN if they may have been rotated.
        """


@dataclasses.dataclass(slots=True, frozen=True)
class AdminServices:
    """Parts of the router that the admin API uses.

    Attributes:
        configuration: Applies and reads configurations.
        fleet: Reports the state of the fleet and the readiness of this VM.
        roll_outs: Returns the states of all rollouts.
        bills: Reads bills and checks the ledger.
        session_keys: Rotates the session keys.
        counters: Counters of this process.
        operator_key_hashes: SHA-256 hashes of the operator keys in hexadecimal.
    """

    configuration: ConfigurationWriter
    fleet: FleetStatusProvider
    roll_outs: Callable[[], Iterable[rollouts_model.RolloutState]]
    bills: BillsReader
    session_keys: SessionKeys
    counters: metrics.Counters
    operator_key_hashes: tuple[str, ...]


def compose_applied_by(operator: str, change_token: str) -> str:
    """Returns `operator#token`, which is stored with a revision.

    The client generates the token, so that it can identify its own change if
    the response is lost. It cannot use the change_id for this, which only the
    router knows until it responds.

    Args:
        operator: Name of the operator.
        change_token: Token of the client, may be empty.

    Raises:
        DragonflydykeError: If an argument is malformed.
    """
    if not _OPERATOR_PATTERN.fullmatch(operator):
        raise _build_field_error(
            "applied_by", "use 1 to 100 characters without spaces and #"
        )
    if not change_token:
        return operator
    if not _CHANGE_TOKEN_PATTERN.fullmatch(change_token):
        raise _build_field_error(
            "change_token", "use 32 lower-case hexadecimal digits"
        )
    return f"{operator}#{change_token}"


def split_applied_by(applied_by: str) -> tuple[str, str]:
    """Splits `operator#token`; the token is empty if there is none."""
    operator, _, change_token = applied_by.partition("#")
    return operator, change_token


def _build_field_error(field: str, fix: str) -> errors.DragonflydykeError:
    return errors.DragonflydykeError(
        "request_invalid",
        f"{field} is malformed; {fix}",
        step=errors.Step.READ_REQUEST,
        status=400,
        field=field,
    )
