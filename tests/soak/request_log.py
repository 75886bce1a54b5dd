"""Log of the requests of a soak, and the invariants that it checks."""

import collections
import contextlib
import dataclasses
import enum
from collections.abc import Callable, Iterator

# Requests that may cross a statement of their server on the way, and the time
# for which they may.
_CROSSING_REQUESTS = 2
_CROSSING_S = 0.5
# Time within which evacuations take effect, and time after a disturbance in
# which they need not.
EVACUATION_S = 2.0
_CONTACT_S = 3.0
# Name of the store among the places that are disturbed.
STORE = "store"
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


@dataclasses.dataclass(slots=True)
class Statement:
    """Time in which a server wants no requests of a node, as loop times."""

    begin_s: float
    end_s: float
    arrivals: int = 0


class StatementLog:
    """What servers said to nodes, and the requests that ignore it.

    A statement does not count when the node or the link is disturbed, as the
    node may not know it then.
    """

    def __init__(self, report_violation: Callable[[str], None]) -> None:
        self._report_violation = report_violation
        self._statements: dict[tuple[str, str], Statement] = {}
        self._disturbances: collections.Counter[str] = collections.Counter()

    def record(self, server: str, vm: str, now_s: float, end_s: float) -> None:
        """Records that a server wants no requests of a node until a time."""
        if self._disturbances[server]:
            return
        key = (server, vm)
        present = self._statements.get(key)
        if present is None or present.end_s < now_s:
            self._statements[key] = Statement(now_s + _CROSSING_S, end_s)
        else:
            present.end_s = max(present.end_s, end_s)

    def check_arrival(self, server: str, vm: str, now_s: float) -> None:
        """Checks that a request may reach a server now."""
        statement = self._statements.get((server, vm))
        if statement is None:
            return
        if not statement.begin_s <= now_s <= statement.end_s:
            return
        statement.arrivals += 1
        if statement.arrivals > _CROSSING_REQUESTS:
            self._report_violation(
                f"{server} got {statement.arrivals} requests of {vm} though it"
                " wants none"
            )

    def forget_vm(self, vm: str) -> None:
        """Forgets what a node was told."""
        for key in [key for key in self._statements if key[1] == vm]:
            del self._statements[key]

    @contextlib.contextmanager
    def disturb_link(self, server: str) -> Iterator[None]:
        """Leaves out what a server says before the end of the block."""
        self._disturbances[server] += 1
        self._forget_server(server)
        try:
            yield
        finally:
            self._disturbances[server] -= 1

    def is_disturbed(self, server: str) -> bool:
        """Returns whether the link to a server is disturbed."""
        return bool(self._disturbances[server])

    def _forget_server(self, server: str) -> None:
        for key in [key for key in self._statements if key[0] == server]:
            del self._statements[key]


class EvacuationLog:
    """Evacuations in the store, and the requests that ignore them.

    No node, server or store is disturbed for longer than `_CONTACT_S`, so that
    the time since the beginning or end of its last disturbance suffices.

    Attributes:
        begun_s: Loop time by data centre at which the store acknowledged its
            evacuation.
    """

    def __init__(self, report_violation: Callable[[str], None]) -> None:
        self.begun_s: dict[str, float] = {}
        self._report_violation = report_violation
        self._disturbed_s: dict[str, float] = {}

    def record_disturbance(self, place: str, now_s: float) -> None:
        """Records that a disturbance of a node, server or store begins or ends.

        The node may not know of an evacuation, and the link to the server may
        hold back a request that was sent before.
        """
        self._disturbed_s[place] = now_s

    def check_arrival(
        self, data_centre: str, vm: str, server: str, now_s: float
    ) -> None:
        """Checks that a request of a node may reach a server now."""
        begun_s = self.begun_s.get(data_centre, now_s)
        places = (vm, server, STORE)
        disturbed_s = max(self._disturbed_s.get(name, 0.0) for name in places)
        is_in_contact = now_s - disturbed_s > _CONTACT_S
        if is_in_contact and now_s - begun_s > EVACUATION_S:
            self._report_violation(
                f"{server} got a request of {vm} {now_s - begun_s:.2f} s after"
                f" the evacuation of {data_centre}"
            )


class RequestLog:
    """Records attempts and violations of the invariants.

    Attributes:
        records: Attempts by request id.
        violations: One sentence for each violated invariant.
        outcomes: Number of attempts by kind and status; status 0 means that
            there was no complete response.
        statements: What servers said to nodes.
        evacuations: Evacuations of data centres.
    """

    def __init__(self) -> None:
        self.records: dict[str, RequestRecord] = {}
        self.violations: list[str] = []
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.statements = StatementLog(self.report_violation)
        self.evacuations = EvacuationLog(self.report_violation)

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
