"""Admin API on a loopback port with fake services in memory."""

import asyncio
import dataclasses
from collections.abc import Mapping, Sequence
from typing import Any

from tornado import httpserver, testing

from dragonflydyke import admin, configuration, errors, metrics
from dragonflydyke.rollouts import model as rollouts_model
from tests.builders import documents

OPERATOR_KEY = "test-operator-key"


class MemoryWriter:
    """In-memory configuration writer with fault injection.

    Attributes:
        lose_responses: Number of changes that are applied but whose response
            is lost.
        lose_requests: Number of changes that are not applied and get no
            response.
        apply_error: Raised by each `apply`, if set.
    """

    def __init__(self) -> None:
        self.revisions: list[admin.StoredRevision] = []
        self.lose_responses = 0
        self.lose_requests = 0
        self.apply_error: Exception | None = None

    async def apply(
        self,
        mapping: Mapping[str, Any],
        applied_by: str,
        base_revision: int | None = None,
    ) -> admin.AppliedChange:
        """Applies a change if its base revision is the current one."""
        configuration.parse(mapping)
        if self.apply_error is not None:
            raise self.apply_error
        if self.lose_requests > 0:
            self.lose_requests -= 1
            raise _build_lost_response_error()
        # Yields to a concurrent apply, as the read of the platform does.
        await asyncio.sleep(0)
        if base_revision not in (None, len(self.revisions)):
            raise errors.DragonflydykeError(
                "revision_conflict",
                f"revision {len(self.revisions)} is current; read it",
                step=errors.Step.APPLY_CONFIGURATION,
                status=409,
            )
        revision = len(self.revisions) + 1
        change_id = f"change-{revision}"
        self.revisions.append(
            admin.StoredRevision(revision, mapping, 0, applied_by, change_id)
        )
        if self.lose_responses > 0:
            self.lose_responses -= 1
            raise _build_lost_response_error()
        return admin.AppliedChange(revision, change_id)

    async def read(self, revision: int | None = None) -> admin.StoredRevision:
        """Returns a revision, by default the current one."""
        number = len(self.revisions) if revision is None else revision
        if not 1 <= number <= len(self.revisions):
            raise errors.DragonflydykeError(
                "revision_unknown",
                f"there is no revision {number}; see the history",
                step=errors.Step.READ_PLATFORM,
                status=404,
            )
        return self.revisions[number - 1]

    async def history(self) -> Sequence[admin.RevisionSummary]:
        """Returns the revisions before the current one."""
        return [
            admin.RevisionSummary(
                entry.revision,
                entry.applied_at_ms,
                entry.applied_by,
                entry.change_id,
            )
            for entry in self.revisions[:-1]
        ]


def _build_lost_response_error() -> errors.DragonflydykeError:
    return errors.DragonflydykeError(
        "platform_outcome_unknown",
        "response lost",
        step=errors.Step.WRITE_PLATFORM,
        execution=errors.Execution.UNKNOWN,
        status=503,
    )


class MemoryFleet:
    """Fleet of two VMs.

    Attributes:
        revisions: Revision in force on each VM.
        ready: Whether the responding VM is ready.
    """

    def __init__(self) -> None:
        self.revisions: list[int | None] = [1, 1]
        self.ready = True

    def status(self) -> admin.FleetStatus:
        """Returns the state of the fleet."""
        rows = tuple(
            admin.VmStatus(f"vm-{i}", "cartago-a", "serving", number, 0.5, 1.0)
            for i, number in enumerate(self.revisions)
        )
        reason = "" if self.ready else "platform not confirmed"
        return admin.FleetStatus("vm-0", 1, self.ready, reason, rows)


@dataclasses.dataclass(slots=True)
class MemoryBills:
    """In-memory bills and ledger inconsistencies."""

    bills: list["MemoryBill"]
    gaps: list[str] = dataclasses.field(default_factory=list)
    duplicates: list[str] = dataclasses.field(default_factory=list)

    async def read(self, account: str | None = None) -> list["MemoryBill"]:
        """Returns the bills of one account, or all bills."""
        return [b for b in self.bills if account in (None, b.client_account)]

    async def check(self) -> "MemoryBills":
        """Returns the ledger inconsistencies."""
        return self


@dataclasses.dataclass(slots=True)
class MemoryBill:
    """Bill with the fields that statements need."""

    client_account: str
    cost: int

    def to_mapping(self) -> dict[str, Any]:
        """Returns the JSON value of the bill."""
        tokens = {"prompt_tokens": 10, "completion_tokens": 5}
        return {**dataclasses.asdict(self), "outcome": "completed", **tokens}


class MemorySessionKeys:
    """In-memory session keys."""

    def __init__(self) -> None:
        self.key_ids = ["key-1"]

    async def rotate(self) -> list[str]:
        """Adds a key and returns all key ids."""
        self.key_ids.append(f"key-{len(self.key_ids) + 1}")
        return self.key_ids


class AdminServer:
    """Running admin API with in-memory services.

    Attributes:
        url: Base URL.
    """

    def __init__(self) -> None:
        self.writer = MemoryWriter()
        self.fleet = MemoryFleet()
        self.bills = MemoryBills([MemoryBill("a", 7), MemoryBill("b", 1)])
        self.session_keys = MemorySessionKeys()
        self.counters = metrics.Counters()
        state = rollouts_model.RolloutState(
            "next", rollouts_model.RolloutPhase.RUNNING, 1, 0, "vm-0", 3
        )
        services = admin.AdminServices(
            configuration=self.writer,
            fleet=self.fleet,
            roll_outs=lambda: (state,),
            bills=self.bills,
            session_keys=self.session_keys,
            counters=self.counters,
            operator_key_hashes=(
                documents.hash_key("another"),
                documents.hash_key(OPERATOR_KEY),
            ),
        )
        self._server = httpserver.HTTPServer(admin.build_application(services))
        socket, port = testing.bind_unused_port()
        self._server.add_socket(socket)
        self.url = f"http://127.0.0.1:{port}"

    async def stop(self) -> None:
        """Closes the server and its connections."""
        self._server.stop()
        await self._server.close_all_connections()
