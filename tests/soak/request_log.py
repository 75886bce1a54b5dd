"""What callers and backend servers saw, and the promises it must keep."""

import collections
import dataclasses
import enum

REJECTION_STATUSES = frozenset((408, 421, 429, 503))
# Statuses that a proper request never gets from the router.
_CLIENT_ERROR_STATUSES = frozenset((400, 401, 404, 413))


class RequestKind(enum.Enum):
    """What may be done with a request that may have run."""

    STREAM = "streams"
    IDEMPOTENT = "safe"
    NON_IDEMPOTENT = "unsafe"


@dataclasses.dataclass(slots=True)
class RequestRecord:
    """One attempt of a caller.

    Attributes:
        kind: Kind of the request.
        vm: Node that it was sent to.
        runs: Servers that ran it, in order.
        status: Status of the answer, 0 without one.
        is_probe: Whether the node may not know the route yet.
    """

    kind: RequestKind
    vm: str
    is_probe: bool = False
    runs: list[str] = dataclasses.field(default_factory=list)
    status: int = 0


class RequestLog:
    """Collects attempts and violations of the promises.

    Attributes:
        entries: Attempts by id.
        violations: One sentence for each broken promise.
        outcomes: Answers by kind and status, status 0 for none.
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
        """Notes that a caller begins to send an attempt."""
        self.records[request_id] = RequestRecord(kind, vm, is_probe)

    def record_run(self, request_id: str, server: str) -> None:
        """Notes that a server begins to run an attempt."""
        entry = self.records.get(request_id)
        if entry is None:
            self.violations.append(f"{server} ran {request_id}, never sent")
            return
        entry.runs.append(server)

    def record_response(self, request_id: str, status: int) -> None:
        """Notes the status of a whole answer, or 0 for none."""
        entry = self.records[request_id]
        entry.status = status
        self.outcomes[f"{entry.kind.value} {status}"] += 1
        if status in _CLIENT_ERROR_STATUSES and not entry.is_probe:
            self.violations.append(f"{request_id} was denied with {status}")

    def report_violation(self, message: str) -> None:
        """Adds a violation."""
        self.violations.append(message)

    def check_runs(self) -> None:
        """Checks what only the end of the soak can show."""
        for request_id, entry in self.records.items():
            if entry.kind is not RequestKind.NON_IDEMPOTENT:
                continue
            if len(entry.runs) > 1:
                self.report_violation(
                    f"{request_id} ran more than once: {entry.runs}"
                )
            if entry.status in REJECTION_STATUSES and entry.runs:
                self.report_violation(
                    f"{request_id} was refused with {entry.status} and ran"
                    f" at {entry.runs}"
                )
