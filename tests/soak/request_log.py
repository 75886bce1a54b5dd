"""Log of the requests of a soak, and the invariants that it checks."""

import collections
import dataclasses
import enum

REJECTION_STATUSES = frozenset((408, 421, 429, 503))
# Statuses that the router must not return for a valid request.
_CLIENT_ERROR_STATUSES = frozenset((400, 401, 404, 413))


class RequestKind(enum.Enum):
    """Kind of a request; the value is the path prefix of its route."""

    STREAM = "streams"
    IDEMPOTENT = "safe"
    NON_IDEMPOTENT = "unsafe"


@dataclasses.dataclass(slots=True)
class RequestRecord:
    """One attempt of a client.

    Attributes:
        kind: Kind of the request.
        vm: Node that received it.
        runs: Servers that ran it, in order.
        status: Status of the response, 0 if there was none.
        is_probe: Whether the node may not have the route yet.
    """

    kind: RequestKind
    vm: str
    is_probe: bool = False
    runs: list[str] = dataclasses.field(default_factory=list)
    status: int = 0


class RequestLog:
    """Records attempts and violations of the invariants.

    Attributes:
        records: Attempts by request id.
        violations: One sentence for each violated invariant.
        outcomes: Number of attempts by kind and status; status 0 means that
            there was no complete response.
    """

    def __init__(self) -> None:
        self.records: dict[str, RequestRecord] = {}
        self.violations: list[str] = []
        self.outcomes: collections.Counter[str] = collections.Counter()

    def record_sent(
        self,
        request_id: str,
        kind: RequestKind,
        vm: str,
        *,
        is_probe: bool = False,
    ) -> None:
        """Records that a client starts to send an attempt."""
        self.records[request_id] = RequestRecord(kind, vm, is_probe)

    def record_run(self, request_id: str, server: str) -> None:
        """Records that a server starts to run an attempt."""
        entry = self.records.get(request_id)
        if entry is None:
            self.violations.append(
                f"{server} ran {request_id}, which no client sent"
            )
            return
        entry.runs.append(server)

    def record_response(self, request_id: str, status: int) -> None:
        """Records the status of a complete response, or 0 for none."""
        entry = self.records[request_id]
        entry.status = status
        self.outcomes[f"{entry.kind.value} {status}"] += 1
        if status in _CLIENT_ERROR_STATUSES and not entry.is_probe:
            self.violations.append(
                f"{request_id} was valid but failed with {status}"
            )

    def report_violation(self, message: str) -> None:
        """Adds a violation of an invariant."""
        self.violations.append(message)

    def check_runs(self) -> None:
        """Checks the invariants that need all attempts to be finished."""
        for request_id, entry in self.records.items():
            if entry.kind is not RequestKind.NON_IDEMPOTENT:
                continue
            if len(entry.runs) > 1:
                self.report_violation(
                    f"{request_id} ran more than once: {entry.runs}"
                )
            if entry.status in REJECTION_STATUSES and entry.runs:
                self.report_violation(
                    f"{request_id} was rejected with {entry.status} but ran"
                    f" at {entry.runs}"
                )
