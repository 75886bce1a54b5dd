"""Newest reports of the other routers, and which of them are alive."""

import dataclasses
from collections.abc import Iterable, Mapping

from dragonflydyke import metrics, objects
from dragonflydyke.membership import relays
from dragonflydyke.protocol import node_pb2

DIRECT_REPORT_MAX_AGE_S = 2.5
# A report between two non-relay nodes of different data centres passes two
# relays and three exchanges, with a period of 1 s each. The limit is below the
# 6 s within which a change must be in force everywhere.
RELAYED_REPORT_MAX_AGE_S = 4.0
_MS_PER_S = 1_000
# The version counts of a restarted router still belong to a running rollout.
_REPORT_RETENTION_S = 600.0
_ENTRY_ROLE = "entry"
_LEAVING = "leaving"


@dataclasses.dataclass(slots=True)
class ReceivedReport:
    """Newest report of one incarnation of a VM.

    Attributes:
        report: The newest report by the sender's clock.
        not_before_s: Lower bound of the time at which the report was built,
            as loop time of this node.
        received_s: Loop time at which the report was received.
    """

    report: node_pb2.NodeReport
    not_before_s: float
    received_s: float


class PeerTracker:
    """Tracks peer reports and the VM list, and derives the fleet's state.

    Ages are computed from timestamps at each query, so that a process that
    was suspended does not rely on reports from before the suspension.
    """

    __slots__ = (
        "_counters",
        "_entry_vms",
        "_own_name",
        "_received_reports",
        "_relays",
        "_vms",
    )

    def __init__(self, own_name: str, counters: metrics.Counters) -> None:
        """Creates a tracker without reports.

        Args:
            own_name: Name of this node's VM.
            counters: Receives `contacts.late_report`, `contacts.old_vm_list`
                and `contacts.empty_vm_list`.
        """
        self._own_name = own_name
        self._counters = counters
        self._received_reports: dict[tuple[str, int], ReceivedReport] = {}
        self._vms: objects.VmList | None = None
        self._entry_vms: tuple[objects.ListedVm, ...] = ()
        self._relays: frozenset[str] = frozenset()

    @property
    def vms(self) -> objects.VmList | None:
        """The newest VM list, or None before the first one."""
        return self._vms

    def set_vms(self, vms: objects.VmList) -> None:
        """Replaces the VM list unless the new list is older or empty.

        An empty list is accepted only while the current list is empty too:
        after a non-empty list it would make every isolated node a majority.
        """
        if self._vms is not None:
            if vms.as_of_ms < self._vms.as_of_ms:
                self._counters.increment("contacts.old_vm_list")
                return
            if self._vms.vms and not vms.vms:
                self._counters.increment("contacts.empty_vm_list")
                return
        self._vms = vms
        # Each report needs both, and choosing relays hashes every name.
        self._entry_vms = tuple(v for v in vms.vms if v.role == _ENTRY_ROLE)
        self._relays = relays.select_relays(self._entry_vms)

    def entry_vms(self) -> tuple[objects.ListedVm, ...]:
        """Returns the listed entry VMs."""
        return self._entry_vms

    def relays(self) -> frozenset[str]:
        """Returns the names of the relays among the listed entry VMs."""
        return self._relays

    def record(
        self, report: node_pb2.NodeReport, not_before_s: float, now_s: float
    ) -> bool:
        """Records a report; returns whether it is the newest of its VM.

        Args:
            report: Report of another VM.
            not_before_s: Lower bound of the loop time at which the report was
                built.
            now_s: Current loop time.
        """
        if report.vm == self._own_name:
            return False
        key = (report.vm, report.incarnation)
        known = self._received_reports.get(key)
        if known and known.report.sent_at_ms > report.sent_at_ms:
            self._counters.increment("contacts.late_report")
            return False
        if known:
            not_before_s = max(not_before_s, known.not_before_s)
        self._received_reports[key] = ReceivedReport(
            report, not_before_s, now_s
        )
        self._expire_old_reports(now_s)
        return self.newest_report(report.vm) is self._received_reports[key]

    def newest_report(self, vm: str) -> ReceivedReport | None:
        """Returns the newest report of a VM among all its incarnations."""
        return max(
            (
                r
                for (name, _), r in self._received_reports.items()
                if name == vm
            ),
            key=lambda received: received.not_before_s,
            default=None,
        )

    def direct_reports(self, now_s: float) -> dict[str, ReceivedReport]:
        """Returns the newest recent report by name of the VM that sent it."""
        latest: dict[str, ReceivedReport] = {}
        for (name, _), received in self._received_reports.items():
            if now_s - received.not_before_s > DIRECT_REPORT_MAX_AGE_S:
                continue
            known = latest.get(name)
            if known is None or known.not_before_s < received.not_before_s:
                latest[name] = received
        return latest

    def alive_vms(self, now_s: float) -> frozenset[str]:
        """Returns the names of this VM and of all VMs with recent reports.

        Reports count whether they were received directly or through a relay.
        """
        direct = self.direct_reports(now_s)
        relayed = self.relayed_report_ages_s(now_s)
        return frozenset({self._own_name, *direct, *relayed})

    def relayed_report_ages_s(self, now_s: float) -> dict[str, float]:
        """Returns the age of each relayed report by name of its VM.

        The age is the sum of the age of the relay's report and the age that
        the VM's report had at the relay, so that it includes the time spent
        on the way.
        """
        ages_s: dict[str, float] = {}
        for received in self.direct_reports(now_s).values():
            report = received.report
            for name, age_ms in zip(
                report.heard_vms, report.heard_age_ms, strict=False
            ):
                age_s = now_s - received.not_before_s + age_ms / _MS_PER_S
                if age_s <= min(
                    RELAYED_REPORT_MAX_AGE_S,
                    ages_s.get(name, RELAYED_REPORT_MAX_AGE_S),
                ):
                    ages_s[name] = age_s
        return ages_s

    def is_majority(self, names: Iterable[str]) -> bool:
        """Returns whether some VMs are more than half of the entry VMs.

        This node is its own majority when the list has no entry VMs. Without
        any list there is no majority.
        """
        if self._vms is None:
            return False
        listed = {vm.name for vm in self.entry_vms()} or {self._own_name}
        return 2 * len(listed.intersection(names)) > len(listed)

    def highest_revision(self, now_s: float) -> int:
        """Returns the highest revision in recent reports, 0 without any."""
        return max(
            (
                max(r.report.revision, r.report.heard_revision)
                for r in self.direct_reports(now_s).values()
            ),
            default=0,
        )

    def count_pending_announcements(self, now_s: float) -> int:
        """Returns the number of pending announcements in recent reports."""
        return sum(
            r.report.pending_announcements + r.report.heard_pending
            for r in self.direct_reports(now_s).values()
        )

    def leaving_vms(self) -> frozenset[str]:
        """Returns VMs of all roles that are leaving by list or report."""
        listed = self._vms.vms if self._vms else ()
        leaving = {vm.name for vm in listed if vm.state == _LEAVING}
        newest: dict[str, ReceivedReport] = {}
        for (name, _), received in self._received_reports.items():
            if (
                name not in newest
                or newest[name].not_before_s < received.not_before_s
            ):
                newest[name] = received
        for name, received in newest.items():
            if received.report.state == node_pb2.NODE_STATE_LEAVING:
                leaving.add(name)
        return frozenset(leaving)

    def fleet_demands(
        self, now_s: float
    ) -> Mapping[str, tuple[node_pb2.AccountDemand, ...]]:
        """Returns the demands in recent direct reports by name of the VM."""
        return {
            name: tuple(received.report.demands)
            for name, received in self.direct_reports(now_s).items()
        }

    def fleet_version_counts(
        self,
    ) -> Mapping[tuple[str, int], tuple[node_pb2.VersionCounts, ...]]:
        """Returns the newest version counts by VM name and incarnation."""
        return {
            key: tuple(received.report.version_counts)
            for key, received in self._received_reports.items()
        }

    def _expire_old_reports(self, now_s: float) -> None:
        for key, received in tuple(self._received_reports.items()):
            if now_s - received.received_s > _REPORT_RETENTION_S:
                del self._received_reports[key]
