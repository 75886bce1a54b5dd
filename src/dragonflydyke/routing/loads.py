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
class _Load:
    """Own requests, those of other nodes, and usual times of a server."""

    in_progress: int = 0
    long_in_progress: int = 0
    foreign: float = 0.0
    # Whether long work may exceed this node's share once until the next
    # report, which shows what other nodes left free.
    may_borrow: bool = False
    reported_at_s: float | None = None
    short_mean: float = 0.0
    short_noted_at_s: float = 0.0
    short_time_s: float | None = None
    long_time_s: float | None = None

    def note_short(self) -> None:
        """Adds the short work until now to its mean over time."""
        now_s = asyncio.get_running_loop().time()
        kept = math.exp((self.short_noted_at_s - now_s) / _SHORT_MEAN_S)
        short = self.in_progress - self.long_in_progress
        self.short_mean = self.short_mean * kept + short * (1.0 - kept)
        self.short_noted_at_s = now_s

    def usual_short(self) -> float:
        """Returns the short work in progress, or its mean if that is more.

        At the moments with little short work, long work would take the slots
        for much longer than the moment lasts.
        """
        self.note_short()
        return max(self.short_mean, self.in_progress - self.long_in_progress)

    def service_time_s(self, *, long: bool) -> float:
        """Returns the usual time in a slot, 0 if it is not known."""
        return (self.long_time_s if long else self.short_time_s) or 0.0

    def record_service_time(self, taken_s: float, *, long: bool) -> None:
        """Adds a sample to the usual time in a slot."""
        before_s = self.service_time_s(long=long)
        change_s = _SERVICE_TIME_SMOOTHING * (taken_s - before_s)
        after_s = before_s + change_s if before_s else taken_s
        if long:
            self.long_time_s = after_s
        else:
            self.short_time_s = after_s


class LoadBook:
    """Own requests in progress and load reports per backend server."""

    __slots__ = (
        "_loads",
        "_subset_shares",
        "_vm_count",
        "reserved_share",
    )

    def __init__(self) -> None:
        self._loads: dict[str, _Load] = {}
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
        load = self._loads.setdefault(server, _Load())
        load.foreign = max(0, total - load.in_progress)
        load.reported_at_s = asyncio.get_running_loop().time() - age_s
        load.may_borrow = True

    def begin(self, server: model.BackendServer, *, long: bool) -> float:
        """Counts a request.

        Returns:
            How many requests share a slot, at least 1. The time in the
            engine's queue is no part of the time in a slot.
        """
        load = self._loads.setdefault(server.name, _Load())
        crowding = max(1.0, self.share_with_next(server))
        load.note_short()
        load.in_progress += 1
        if long:
            if load.long_in_progress >= self._long_share(server):
                load.may_borrow = False
            load.long_in_progress += 1
        return crowding

    def end(self, server: str, *, long: bool) -> None:
        """Ends a request that `begin` counted."""
        load = self._loads[server]
        load.note_short()
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
        in_system = self.estimate(server)
        slots = float(server.slots)
        if not long:
            occupied = self._estimate_long(server, load)
            in_system -= occupied
            slots = max(1.0, slots - occupied)
        ahead = max(0.0, in_system + 1 - slots)
        return ahead * load.service_time_s(long=long) / slots

    def has_room(
        self, server: model.BackendServer, request_class: model.RequestClass
    ) -> bool:
        """Returns whether work that may wait goes to a server now."""
        if self.share(server) >= 1.0:
            return False
        if not request_class.long:
            return True
        load = self._loads.get(server.name)
        if load is None or load.long_in_progress < self._long_share(server):
            return True
        nodes = self._count_nodes(server)
        total = max(load.in_progress + load.foreign, load.usual_short() * nodes)
        return load.may_borrow and total + 1 <= self._long_limit(server)

    def _count_nodes(self, server: model.BackendServer) -> float:
        """Returns the number of nodes that use a server."""
        used = self._subset_shares.get(server.name, 1.0)
        return max(1.0, self._vm_count * used)

    def _long_limit(self, server: model.BackendServer) -> int:
        return max(1, int(server.slots * (1.0 - self.reserved_share)))

    def _long_share(self, server: model.BackendServer) -> int:
        """Returns the slots that long work of this node has for certain."""
        # Short work may need more than the reserved share by itself.
        load = self._loads.get(server.name)
        short = load.usual_short() if load else 0.0
        nodes = self._count_nodes(server)
        return max(0, int(self._long_limit(server) / nodes - short))

    def share_with_next(self, server: model.BackendServer) -> float:
        """Returns the load per slot with one request more."""
        # Counting the next request prefers the larger of two idle servers.
        return (self.estimate(server) + 1) / max(server.slots, 1)

    def share(self, server: model.BackendServer) -> float:
        """Returns the load per slot."""
        return self.estimate(server) / max(server.slots, 1)

    def estimate(self, server: model.BackendServer) -> float:
        """Returns the requests at a server; old reports fade."""
        load = self._loads.get(server.name)
        if load is None:
            return 0.0
        if load.reported_at_s is None:
            return load.in_progress
        age_s = asyncio.get_running_loop().time() - load.reported_at_s
        fresh = math.exp(-max(0.0, age_s) / _REPORT_DECAY_S)
        return load.in_progress + load.foreign * fresh

    def _estimate_long(self, server: model.BackendServer, load: _Load) -> float:
        """Returns the slots with long work, as if all nodes had as much."""
        everywhere = load.long_in_progress * self._count_nodes(server)
        most = max(load.long_in_progress, self._long_limit(server))
        return min(everywhere, most, self.estimate(server))
