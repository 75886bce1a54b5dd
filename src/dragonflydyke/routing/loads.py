"""This node's estimate of the load of backend servers."""

import asyncio
import dataclasses
import math
from collections.abc import Collection

from dragonflydyke import errors
from dragonflydyke.configuration import model

_REPORT_DECAY_TIME_CONSTANT_S = 2.0
_SERVICE_TIME_SMOOTHING = 0.1
_SHORT_MEAN_TIME_CONSTANT_S = 2.0


@dataclasses.dataclass(slots=True)
class _ServerLoad:
    """Requests in progress at one server, and its average service times.

    Attributes:
        in_progress: Requests that this node sent.
        long_in_progress: Those of them that are long work.
        remote_requests: Requests of other nodes at the last load report.
        may_exceed_long_share: Whether long work may exceed this node's share
            once before the next load report. Each report shows the capacity
            that other nodes leave unused.
        reported_at_s: Loop time of the last load report.
        mean_short_requests: Moving average of this node's short requests.
        short_mean_updated_at_s: Loop time at which that average was updated.
        short_service_time_s: Average time of short work in a slot.
        long_service_time_s: Average time of long work in a slot.
    """

    in_progress: int = 0
    long_in_progress: int = 0
    remote_requests: float = 0.0
    may_exceed_long_share: bool = False
    reported_at_s: float | None = None
    mean_short_requests: float = 0.0
    short_mean_updated_at_s: float = 0.0
    short_service_time_s: float | None = None
    long_service_time_s: float | None = None

    def update_short_mean(self) -> None:
        """Updates the moving average of short requests to the current time."""
        now_s = asyncio.get_running_loop().time()
        decay = math.exp(
            (self.short_mean_updated_at_s - now_s) / _SHORT_MEAN_TIME_CONSTANT_S
        )
        short = self.in_progress - self.long_in_progress
        self.mean_short_requests = self.mean_short_requests * decay + short * (
            1.0 - decay
        )
        self.short_mean_updated_at_s = now_s

    def estimate_short_requests(self) -> float:
        """Returns the greater of current and average short requests.

        Without the average, long work would fill the slots during a brief dip
        in short work and occupy them for much longer than the dip lasts.
        """
        self.update_short_mean()
        return max(
            self.mean_short_requests, self.in_progress - self.long_in_progress
        )

    def get_service_time_s(self, *, long: bool) -> float:
        """Returns the average seconds in a slot, 0 without samples."""
        return (
            self.long_service_time_s if long else self.short_service_time_s
        ) or 0.0

    def record_service_time(self, taken_s: float, *, long: bool) -> None:
        """Adds a sample to the average time in a slot."""
        before_s = self.get_service_time_s(long=long)
        change_s = _SERVICE_TIME_SMOOTHING * (taken_s - before_s)
        after_s = before_s + change_s if before_s else taken_s
        if long:
            self.long_service_time_s = after_s
        else:
            self.short_service_time_s = after_s


class LoadTracker:
    """Tracks the requests of this node and load reports for each server.

    Attributes:
        reserved_share: Share of the slots that long work must leave free.
    """

    __slots__ = (
        "_loads",
        "_subset_shares",
        "_vm_count",
        "reserved_share",
    )

    def __init__(self) -> None:
        self._loads: dict[str, _ServerLoad] = {}
        self._subset_shares: dict[str, float] = {}
        self._vm_count = 1
        self.reserved_share = 0.0

    def set_vm_count(self, count: int) -> None:
        """Sets the number of nodes that share the servers."""
        self._vm_count = max(1, count)

    def set_subset_share(self, server: str, share: float) -> None:
        """Sets which share of all nodes has the server in its subset, 0..1."""
        self._subset_shares[server] = share

    def retain(self, servers: Collection[str]) -> None:
        """Forgets all other servers that have no requests in progress."""
        self._loads = {
            name: load
            for name, load in self._loads.items()
            if name in servers or load.in_progress
        }
        self._subset_shares = {
            n: share for n, share in self._subset_shares.items() if n in servers
        }

    def count_in_progress(self, server: str) -> int:
        """Returns this node's number of requests in progress at a server."""
        load = self._loads.get(server)
        return load.in_progress if load else 0

    def get_service_time_s(
        self, server: model.BackendServer, *, long: bool
    ) -> float:
        """Returns the average seconds in a slot, 0 without samples."""
        load = self._loads.get(server.name)
        return load.get_service_time_s(long=long) if load else 0.0

    def record_report(self, server: str, total: int, age_s: float) -> None:
        """Records the load that a server reported `age_s` seconds ago."""
        load = self._loads.setdefault(server, _ServerLoad())
        load.remote_requests = max(0, total - load.in_progress)
        load.reported_at_s = asyncio.get_running_loop().time() - age_s
        load.may_exceed_long_share = True

    def start_request(
        self, server: model.BackendServer, *, long: bool
    ) -> float:
        """Counts a request that is sent to a server.

        Returns:
            Oversubscription of the server: requests per slot with this one,
            at least 1. Dividing the request's duration by it leaves out the
            time in the engine's queue.
        """
        load = self._loads.setdefault(server.name, _ServerLoad())
        oversubscription = max(
            1.0, self.compute_load_per_slot_with_next(server)
        )
        load.update_short_mean()
        load.in_progress += 1
        if long:
            if load.long_in_progress >= self._compute_guaranteed_long_slots(
                server
            ):
                load.may_exceed_long_share = False
            load.long_in_progress += 1
        return oversubscription

    def finish_request(self, server: str, *, long: bool) -> None:
        """Removes a request that `start_request` counted.

        Raises:
            InvariantError: If no such request is in progress.
        """
        load = self._loads[server]
        load.update_short_mean()
        load.in_progress -= 1
        load.long_in_progress -= long
        errors.check_invariant(
            load.in_progress >= 0 and load.long_in_progress >= 0,
            f"number of requests in progress at {server} is below 0",
        )

    def record_service_time(
        self, server: str, taken_s: float, *, long: bool
    ) -> None:
        """Adds a sample to the average time in a slot."""
        self._loads[server].record_service_time(taken_s, long=long)

    def predict_wait_s(
        self, server: model.BackendServer, *, long: bool = False
    ) -> float:
        """Returns the predicted queueing time of a new request in seconds.

        Engines prioritise short work, so a short request waits only behind
        other short requests, for the slots that long work does not occupy.

        Args:
            server: Server that the request would be sent to.
            long: Whether it is long work.
        """
        load = self._loads.get(server.name)
        if load is None:
            return 0.0
        requests = self.estimate_requests(server)
        slots = float(server.slots)
        if not long:
            occupied = self._estimate_long_requests(server, load)
            requests -= occupied
            slots = max(1.0, slots - occupied)
        excess = max(0.0, requests + 1 - slots)
        return excess * load.get_service_time_s(long=long) / slots

    def has_capacity(
        self, server: model.BackendServer, request_class: model.RequestClass
    ) -> bool:
        """Returns whether a server has capacity for deferrable work now."""
        if self.compute_load_per_slot(server) >= 1.0:
            return False
        if not request_class.long:
            return True
        load = self._loads.get(server.name)
        if (
            load is None
            or load.long_in_progress
            < self._compute_guaranteed_long_slots(server)
        ):
            return True
        nodes = self._count_nodes(server)
        total = max(
            load.in_progress + load.remote_requests,
            load.estimate_short_requests() * nodes,
        )
        return (
            load.may_exceed_long_share
            and total + 1 <= self._compute_long_limit(server)
        )

    def _count_nodes(self, server: model.BackendServer) -> float:
        """Returns the estimated number of nodes that use a server."""
        subset_share = self._subset_shares.get(server.name, 1.0)
        return max(1.0, self._vm_count * subset_share)

    def _compute_long_limit(self, server: model.BackendServer) -> int:
        return max(1, int(server.slots * (1.0 - self.reserved_share)))

    def _compute_guaranteed_long_slots(
        self, server: model.BackendServer
    ) -> int:
        """Returns the slots that long work of this node may always use."""
        # Short work may need more than the reserved share, so long work
        # yields the slots that short work occupies.
        load = self._loads.get(server.name)
        short = load.estimate_short_requests() if load else 0.0
        nodes = self._count_nodes(server)
        return max(0, int(self._compute_long_limit(server) / nodes - short))

    def compute_load_per_slot_with_next(
        self, server: model.BackendServer
    ) -> float:
        """Returns the load per slot with one additional request."""
        # With the additional request, the larger of two idle servers has the
        # lower load per slot.
        return (self.estimate_requests(server) + 1) / max(server.slots, 1)

    def compute_load_per_slot(self, server: model.BackendServer) -> float:
        """Returns the load per slot."""
        return self.estimate_requests(server) / max(server.slots, 1)

    def estimate_requests(self, server: model.BackendServer) -> float:
        """Returns the estimated number of requests at a server.

        The requests of other nodes decay exponentially with the age of the
        load report.
        """
        load = self._loads.get(server.name)
        if load is None:
            return 0.0
        if load.reported_at_s is None:
            return load.in_progress
        age_s = asyncio.get_running_loop().time() - load.reported_at_s
        decay = math.exp(-max(0.0, age_s) / _REPORT_DECAY_TIME_CONSTANT_S)
        return load.in_progress + load.remote_requests * decay

    def _estimate_long_requests(
        self, server: model.BackendServer, load: _ServerLoad
    ) -> float:
        """Returns the slots with long work.

        Assumes that the other nodes have as much long work as this one.
        """
        extrapolated = load.long_in_progress * self._count_nodes(server)
        upper_limit = max(
            load.long_in_progress, self._compute_long_limit(server)
        )
        return min(extrapolated, upper_limit, self.estimate_requests(server))
