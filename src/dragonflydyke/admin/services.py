"""What the admin API needs from the rest of the router."""

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
    """A change that is accepted and durable."""

    revision: int
    change_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class StoredRevision:
    """A configuration as the platform stores it."""

    revision: int
    document: Mapping[str, Any]
    applied_at_ms: int
    applied_by: str
    change_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class RevisionSummary:
    """One line of the history."""

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
            base_revision: Revision that must be the current one; 0 means that
                there must be none yet, None that any will do.

        Raises:
            DragonflydykeError: `revision_conflict` with status 409, or an
                error with execution UNKNOWN if the outcome is unknown.
        """

    async def read(self, revision: int | None = None) -> StoredRevision:
        """Reads a revision, or the current one, from the platform.

        Raises:
            DragonflydykeError: With status 404 if there is no such revision.
        """

    async def history(self) -> Sequence[RevisionSummary]:
        """Returns earlier revisions; may include the current one."""


@dataclasses.dataclass(slots=True, frozen=True)
class VmStatus:
    """What a router knows about a listed VM.

    Attributes:
        vm: Name of the VM.
        data_centre: Where it runs.
        state: `serving`, `leaving` or `not heard`.
        revision: Revision in force on it, None if never heard.
        age_s: Seconds since its newest report, None if never heard.
        confirmed_age_s: Seconds since the platform confirmed its state.
    """

    vm: str
    data_centre: str
    state: str
    revision: int | None
    age_s: float | None
    confirmed_age_s: float | None


@dataclasses.dataclass(slots=True, frozen=True)
class FleetStatus:
    """The fleet as one router sees it.

    Attributes:
        vm: The answering VM.
        revision: Revision in force on it, None before the first.
        ready: Whether it accepts new requests.
        reason: Why it does not, empty if ready.
        vms: One row for each listed entry VM.
    """

    vm: str
    revision: int | None
    ready: bool
    reason: str
    vms: tuple[VmStatus, ...]


class FleetStatusProvider(Protocol):
    """Reports the state of the fleet from memory."""

    def status(self) -> FleetStatus:
        """Returns the present state."""


class BillRecord(Protocol):
    """A bill; see `billing.model`."""

    def to_mapping(self) -> dict[str, Any]:
        """Returns the JSON value of the bill."""


class LedgerCheck(Protocol):
    """Faults of the ledger, as values with a JSON form or `str`."""

    @property
    def gaps(self) -> Sequence[Any]:
        """Missing sequence numbers or journal entries."""

    @property
    def duplicates(self) -> Sequence[Any]:
        """Bills that occur more than once in a journal."""


class BillsReader(Protocol):
    """Reads bills from the platform; see `billing.ledger`."""

    async def read(self, account: str | None = None) -> Iterable[BillRecord]:
        """Returns the bills of one or all accounts, each bill_id once."""

    async def check(self) -> LedgerCheck:
        """Returns gaps and duplicates of all journals."""


class SessionKeys(Protocol):
    """Rotates the session keys; see `membership.keys`."""

    async def rotate(self) -> Sequence[str]:
        """Adds a key and returns the key ids, oldest first.

        Raises:
            DragonflydykeError: If the keys were not rotated, or with
                execution UNKNOWN if that is not known.
        """


@dataclasses.dataclass(slots=True, frozen=True)
class AdminServices:
    """Everything that the admin API uses.

    Attributes:
        configuration: Applies and reads configurations.
        fleet: Reports the fleet and the readiness of this VM.
        roll_outs: Returns the states of all roll-outs.
        bills: Reads bills.
        session_keys: Rotates the session keys.
        counters: Counters of this process.
        operator_key_hashes: SHA-256 of each operator key, in hexadecimal.
    """

    configuration: ConfigurationWriter
    fleet: FleetStatusProvider
    roll_outs: Callable[[], Iterable[rollouts_model.RolloutState]]
    bills: BillsReader
    session_keys: SessionKeys
    counters: metrics.Counters
    operator_key_hashes: tuple[str, ...]


def compose_applied_by(operator: str, change_token: str) -> str:
    """Returns `operator#token`, which the platform stores with a revision.

    The client makes the token, so that after a lost answer it can recognise
    its own change; the change_id is known only to the router.

    Raises:
        DragonflydykeError: If one of the two has the wrong form.
    """
    if not _OPERATOR_PATTERN.fullmatch(operator):
        raise _invalid(
            "applied_by", "give a name of 1 to 100 characters, no space or #"
        )
    if not change_token:
        return operator
    if not _CHANGE_TOKEN_PATTERN.fullmatch(change_token):
        raise _invalid("change_token", "give 32 lower-case hexadecimal digits")
    return f"{operator}#{change_token}"


def split_applied_by(applied_by: str) -> tuple[str, str]:
    """Returns operator and change token; the token may be empty."""
    operator, _, change_token = applied_by.partition("#")
    return operator, change_token


def _invalid(field: str, fix: str) -> errors.DragonflydykeError:
    return errors.DragonflydykeError(
        "request_invalid",
        f"{field} has the wrong form; {fix}",
        step=errors.Step.READ_REQUEST,
        status=400,
        field=field,
    )
