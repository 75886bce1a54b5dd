"""Load of backend servers as this node knows it."""

import asyncio
import dataclasses
import math

from dragonflydyke import errors
from dragonflydyke.configuration import model

_REPORT_DECAY_S = 2.0
_SERVICE_TIME_SMOOTHING = 0.1
_SHORT_MEAN_S = 2.0


@dataclasses.dataclass(slots=True)
class _ServerLoad:
    """Own requests, those of other nodes, and usual times of a server."""

    in_progress: int = 0
    long_in_progress: int = 0
    remote_requests: float = 0.0
    # Whether long work may exceed this node's share once until the next
    # report, which shows what other nodes left free.
    may_exceed_long_share: bool = False
    reported_at_s: float | None = None
    mean_short_requests: float = 0.0
    short_mean_updated_at_s: float = 0.0
    short_service_time_s: float | None = None
    long_service_time_s: float | None = None

    def update_short_mean(self) -> None:
        """Adds the short work until now to its mean over time."""
        now_s = asyncio.get_running_loop().time()
        kept = math.exp((self.short_mean_updated_at_s - now_s) / _SHORT_MEAN_S)
        short = self.in_progress - self.long_in_progress
        self.mean_short_requests = self.mean_short_requests * kept + short * (
            1.0 - kept
        )
        self.short_mean_updated_at_s = now_s

    def estimate_short_requests(self) -> float:
        """Returns the short work in progress, or its mean if that is more.

        At the moments with little short work, long work would take the slots
        for much longer than the moment lasts.
        """
        self.update_short_mean()
        return max(
            self.mean_short_requests, self.in_progress - self.long_in_progress
        )

    def service_time_s(self, *, long: bool) -> float:
        """Returns the usual time in a slot, 0 if it is not known."""
        return (
            self.long_service_time_s if long else self.short_service_time_s
        ) or 0.0

    def record_service_time(self, taken_s: float, *, long: bool) -> None:
        """Adds a sample to the usual time in a slot."""
        before_s = self.service_time_s(long=long)
        change_s = _SERVICE_TIME_SMOOTHING * (taken_s - before_s)
        after_s = before_s + change_s if before_s else taken_s
        if long:
            self.long_service_time_s = after_s
        else:
            self.short_service_time_s = after_s


class LoadTracker:
    """Own requests in progress and load reports per backend server."""

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
        """Sets the share of all nodes that use a server, 0..1."""
        self._subset_shares[server] = share

    def in_progress(self, server: str) -> int:
        """Returns the number of own requests in progress at a server."""
        load = self._loads.get(server)
        return load.in_progress if load else 0

    def service_time_s(
        self, server: model.BackendServer, *, long: bool
    ) -> float:
        """Returns the usual time in a slot, 0 if it is not known."""
        load = self._loads.get(server.name)
        return load.service_time_s(long=long) if load else 0.0

    def record_report(self, server: str, total: int, age_s: float) -> None:
        """Records the load that a server reported `age_s` seconds ago."""
        load = self._loads.setdefault(server, _ServerLoad())
        load.remote_requests = max(0, total - load.in_progress)
        load.reported_at_s = asyncio.get_running_loop().time() - age_s
        load.may_exceed_long_share = True

    def start_request(
        self, server: model.BackendServer, *, long: bool
    ) -> float:
        """Counts a request.

        Returns:
            How many requests share a slot, at least 1. The time in the
            engine's queue is no part of the time in a slot.
        """
        load = self._loads.setdefault(server.name, _ServerLoad())
        oversubscription = max(1.0, self.load_per_slot_with_next(server))
        load.update_short_mean()
        load.in_progress += 1
        if long:
            if load.long_in_progress >= self._compute_reserved_long_slots(
                server
            ):
                load.may_exceed_long_share = False
            load.long_in_progress += 1
        return oversubscription

    def finish_request(self, server: str, *, long: bool) -> None:
        """Ends a request that `begin` counted."""
        load = self._loads[server]
        load.update_short_mean()
        load.in_progress -= 1
        load.long_in_progress -= long
        errors.check_invariant(
            load.in_progress >= 0 and load.long_in_progress >= 0,
            f"requests in progress at {server} below 0",
        )

    def record_service_time(
        self, server: str, taken_s: float, *, long: bool
    ) -> None:
        """Adds a sample to the usual time in a slot."""
        self._loads[server].record_service_time(taken_s, long=long)

    def predict_wait_s(
        self, server: model.BackendServer, *, long: bool = False
    ) -> float:
        """Returns the seconds that new work would wait at a server.

        Engines let short work go first, so it waits for the slots that long
        work leaves, behind other short work.

        Args:
            server: Where the work would go.
            long: Whether it is long work.
        """
        load = self._loads.get(server.name)
        if load is None:
            return 0.0
        in_system = self.estimate_requests(server)
        slots = float(server.slots)
        if not long:
            occupied = self._estimate_long_requests(server, load)
            in_system -= occupied
            slots = max(1.0, slots - occupied)
        ahead = max(0.0, in_system + 1 - slots)
        return ahead * load.service_time_s(long=long) / slots

    def has_capacity(
        self, server: model.BackendServer, request_class: model.RequestClass
    ) -> bool:
        """Returns whether work that may wait goes to a server now."""
        if self.load_per_slot(server) >= 1.0:
            return False
        if not request_class.long:
            return True
        load = self._loads.get(server.name)
        if (
            load is None
            or load.long_in_progress < self._compute_reserved_long_slots(server)
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
        """Returns the number of nodes that use a server."""
        used = self._subset_shares.get(server.name, 1.0)
        return max(1.0, self._vm_count * used)

    def _compute_long_limit(self, server: model.BackendServer) -> int:
        return max(1, int(server.slots * (1.0 - self.reserved_share)))

    def _compute_reserved_long_slots(self, server: model.BackendServer) -> int:
        """Returns the slots that long work of this node has for certain."""
        # Short work may need more than the reserved share by itself.
        load = self._loads.get(server.name)
        short = load.estimate_short_requests() if load else 0.0
        nodes = self._count_nodes(server)
        return max(0, int(self._compute_long_limit(server) / nodes - short))

    def load_per_slot_with_next(self, server: model.BackendServer) -> float:
        """Returns the load per slot with one request more."""
        # Counting the next request prefers the larger of two idle servers.
        return (self.estimate_requests(server) + 1) / max(server.slots, 1)

    def load_per_slot(self, server: model.BackendServer) -> float:
        """Returns the load per slot."""
        return self.estimate_requests(server) / max(server.slots, 1)

    def estimate_requests(self, server: model.BackendServer) -> float:
        """Returns the requests at a server; old reports fade."""
        load = self._loads.get(server.name)
        if load is None:
            return 0.0
        if load.reported_at_s is None:
            return load.in_progress
        age_s = asyncio.get_running_loop().time() - load.reported_at_s
        fresh = math.exp(-max(0.0, age_s) / _REPORT_DECAY_S)
        return load.in_progress + load.remote_requests * fresh

    def _estimate_long_requests(
        self, server: model.BackendServer, load: _ServerLoad
    ) -> float:
        """Returns the slots with long work, as if all nodes had as much."""
        everywhere = load.long_in_progress * self._count_nodes(server)
        most = max(load.long_in_progress, self._compute_long_limit(server))
        return min(everywhere, most, self.estimate_requests(server))
