"""Builds the reports between routers and bounds the age of received ones."""

import asyncio
import dataclasses
import math
from collections.abc import Callable, Iterable

from dragonflydyke.membership import (
    announcements,
    confirmations,
    peer_reports,
    permit,
    state,
)
from dragonflydyke.protocol import node_pb2

_MS_PER_S = 1_000
_MAX_UINT32 = 2**32 - 1


@dataclasses.dataclass(slots=True, frozen=True)
class NodeIdentity:
    """Identity of this node in its reports.

    Attributes:
        vm: Name of the VM.
        data_centre: Name of the data centre of the VM.
        inner_address: `host:port` at which other routers reach this node.
        incarnation: Random number, new at each process start.
    """

    vm: str
    data_centre: str
    inner_address: str
    incarnation: int


@dataclasses.dataclass(slots=True, frozen=True)
class ReportSources:
    """Sources of the parts of a report that other components provide.

    Attributes:
        demands: Returns the current demand of each client account.
        version_counts: Returns the counts of each version.
    """

    demands: Callable[[], Iterable[node_pb2.AccountDemand]] = tuple
    version_counts: Callable[[], Iterable[node_pb2.VersionCounts]] = tuple


class ReportBuilder:
    """Builds this node's reports and bounds the age of received ones."""

    __slots__ = (
        "_announcement_tracker",
        "_confirmation_tracker",
        "_identity",
        "_peer_tracker",
        "_permit",
        "_sources",
        "_started_s",
        "_state",
        "leaving",
    )

    def __init__(
        self,
        identity: NodeIdentity,
        state_store: state.StateStore,
        confirmation_tracker: confirmations.ConfirmationTracker,
        peer_tracker: peer_reports.PeerTracker,
        announcement_tracker: announcements.AnnouncementTracker,
        serving_permit: permit.ServingPermit,
        sources: ReportSources,
    ) -> None:
        """Creates the builder of a process that is just starting."""
        self._identity = identity
        self._state = state_store
        self._confirmation_tracker = confirmation_tracker
        self._peer_tracker = peer_tracker
        self._announcement_tracker = announcement_tracker
        self._permit = serving_permit
        self._sources = sources
        self._started_s = asyncio.get_running_loop().time()
        self.leaving = False

    def build(self, receiver: str = "") -> node_pb2.NodeReport:
        """Returns a report of the current state of this node.

        Args:
            receiver: Name of the VM that receives the report, if known. Its
                newest report is echoed, so that the receiver can bound the age
                of this one.
        """
        now_s = asyncio.get_running_loop().time()
        report = node_pb2.NodeReport(
            vm=self._identity.vm,
            data_centre=self._identity.data_centre,
            incarnation=self._identity.incarnation,
            inner_address=self._identity.inner_address,
            state=node_pb2.NODE_STATE_SERVING,
            revision=self._state.revision,
            control_version=self._state.control_version,
            pending_announcements=self._announcement_tracker.count_pending(
                self._state.revision, self._confirmation_tracker.newest_s()
            ),
            demands=self._sources.demands(),
            version_counts=self._sources.version_counts(),
            sent_at_ms=math.floor(now_s * _MS_PER_S),
            uptime_ms=math.floor((now_s - self._started_s) * _MS_PER_S),
        )
        if self.leaving:
            report.state = node_pb2.NODE_STATE_LEAVING
        self._add_confirmations(report, now_s)
        self._add_relayed_reports(report, receiver, now_s)
        self._add_echo(report, receiver, now_s)
        return report

    def bound_request_time(
        self, report: node_pb2.NodeReport, now_s: float
    ) -> float:
        """Returns a lower bound of the time at which a request was built.

        A request can wait in a socket while this process is suspended. The
        sender echoes the send time, on this node's clock, of the newest report
        that it has from this node, and the time for which it has had it. The
        request was not built before the sum of both.

        Returns:
            The bound as loop time; minus infinity if the request does not echo
            a report of this incarnation.
        """
        if report.echo_incarnation != self._identity.incarnation:
            return -math.inf
        made_ms = report.echo_sent_at_ms + report.echo_held_ms
        return min(made_ms / _MS_PER_S, now_s)

    def _add_confirmations(
        self, report: node_pb2.NodeReport, now_s: float
    ) -> None:
        age_s = self._confirmation_tracker.newest_age(now_s)
        if age_s is not None:
            report.has_confirmation = True
            report.confirmation_age_ms = to_age_ms(age_s)
        local_read_age_s = self._confirmation_tracker.local_read_age(now_s)
        if local_read_age_s is not None:
            report.has_platform = True
            report.platform_age_ms = to_age_ms(local_read_age_s)

    def _add_relayed_reports(
        self, report: node_pb2.NodeReport, receiver: str, now_s: float
    ) -> None:
        relay_names = self._peer_tracker.relays()
        if self._identity.vm not in relay_names:
            return
        direct = self._peer_tracker.direct_reports(now_s)
        ages_s = {name: now_s - r.not_before_s for name, r in direct.items()}
        for name, received in direct.items():
            peer_report = received.report
            _add_revision_and_pending(
                report, peer_report.revision, peer_report.pending_announcements
            )
            if peer_report.uptime_ms < permit.RECENT_START_S * _MS_PER_S:
                report.starting_vms.append(name)
        if receiver not in relay_names:
            # Relays exchange reports directly, so a report to another relay
            # omits these.
            for name, age_s in self._peer_tracker.relayed_report_ages_s(
                now_s
            ).items():
                ages_s.setdefault(name, age_s)
            for received in direct.values():
                peer_report = received.report
                _add_revision_and_pending(
                    report,
                    peer_report.heard_revision,
                    peer_report.heard_pending,
                )
                report.starting_vms.extend(peer_report.starting_vms)
        report.heard_vms.extend(ages_s)
        report.heard_age_ms.extend(to_age_ms(a) for a in ages_s.values())

    def _add_echo(
        self, report: node_pb2.NodeReport, receiver: str, now_s: float
    ) -> None:
        received = self._peer_tracker.newest_report(receiver)
        if received is None:
            return
        report.echo_incarnation = received.report.incarnation
        report.echo_sent_at_ms = received.report.sent_at_ms
        since_receipt_s = now_s - received.received_s
        report.echo_held_ms = math.floor(since_receipt_s * _MS_PER_S)


def _add_revision_and_pending(
    report: node_pb2.NodeReport, revision: int, pending: int
) -> None:
    report.heard_revision = max(report.heard_revision, revision)
    report.heard_pending = min(report.heard_pending + pending, _MAX_UINT32)


def to_age_ms(age_s: float) -> int:
    """Returns an age in milliseconds, rounded up, for a 32-bit field."""
    return min(math.ceil(max(age_s, 0.0) * _MS_PER_S), _MAX_UINT32)
