"""State of the fleet as one router has it: status, demand, rollout counts."""

import asyncio
from collections.abc import Iterable

from dragonflydyke import admin, limits
from dragonflydyke.configuration import model
from dragonflydyke.membership import node, peer_reports
from dragonflydyke.protocol import node_pb2
from dragonflydyke.rollouts import counts, decisions
from dragonflydyke.rollouts import model as rollouts_model

_MS_PER_S = 1_000
_MILLI = 1_000


class FleetStatusProvider:
    """Builds the fleet status for operators from received reports."""

    __slots__ = ("_membership",)

    def __init__(self, membership: node.Membership) -> None:
        self._membership = membership

    def status(self) -> admin.FleetStatus:
        """Returns the current state of all entry VMs in the VM list."""
        membership = self._membership
        ready, reason = describe_readiness(membership)
        current = membership.state.current
        return admin.FleetStatus(
            vm=membership.identity.vm,
            revision=current.revision if current else None,
            ready=ready,
            reason=reason,
            vms=tuple(
                self._describe(vm.name, vm.data_centre)
                for vm in membership.peer_tracker.entry_vms()
            ),
        )

    def _describe(self, name: str, data_centre: str) -> admin.VmStatus:
        membership = self._membership
        if name == membership.identity.vm:
            current = membership.state.current
            return admin.VmStatus(
                vm=name,
                data_centre=data_centre,
                state="leaving" if membership.leaving else "serving",
                revision=current.revision if current else None,
                age_s=0.0,
                confirmed_age_s=membership.confirmed_age_s(),
            )
        now_s = asyncio.get_running_loop().time()
        contact = membership.peer_tracker.newest_report(name)
        if contact is None:
            return admin.VmStatus(
                name, data_centre, "not heard", None, None, None
            )
        return _describe_contact(contact, data_centre, now_s)


def _describe_contact(
    contact: peer_reports.ReceivedReport, data_centre: str, now_s: float
) -> admin.VmStatus:
    report = contact.report
    age_s = now_s - contact.not_before_s
    state = "serving"
    if report.state == node_pb2.NODE_STATE_LEAVING:
        state = "leaving"
    if age_s > peer_reports.DIRECT_REPORT_MAX_AGE_S:
        state = "not heard"
    confirmed_age_s = None
    if report.has_confirmation:
        confirmed_age_s = age_s + report.confirmation_age_ms / _MS_PER_S
    return admin.VmStatus(
        vm=report.vm,
        data_centre=data_centre,
        state=state,
        revision=report.revision or None,
        age_s=age_s,
        confirmed_age_s=confirmed_age_s,
    )


def describe_readiness(membership: node.Membership) -> tuple[bool, str]:
    """Returns whether a router accepts new requests, and the reason if not."""
    if membership.leaving:
        return False, "leaving"
    if membership.state.current is None:
        return False, "no configuration"
    if not membership.permit.is_granted():
        return False, "not confirmed"
    return True, ""


class RolloutView:
    """Configuration and fleet-wide counts of rollouts for the driver."""

    __slots__ = ("_counts", "_membership")

    def __init__(
        self, membership: node.Membership, version_counts: counts.VersionCounts
    ) -> None:
        self._membership = membership
        self._counts = version_counts

    def document(self) -> model.Document | None:
        """Returns the configuration in force, or None before the first."""
        current = self._membership.state.current
        return current.document if current else None

    def find_known_state(
        self, roll_out: str
    ) -> rollouts_model.RolloutState | None:
        """Returns the state of a rollout in force on this router, if any."""
        current = self._membership.state.current
        return current.roll_outs.get(roll_out) if current else None

    def sample(self, roll_out: str, version: str) -> decisions.VersionSample:
        """Returns the counts of a version, summed over all routers.

        Args:
            roll_out: Name of the rollout.
            version: Name of the version.
        """
        local_count = self._counts.get_count(roll_out, version)
        reported: list[counts.VersionCount | node_pb2.VersionCounts] = [
            local_count
        ]
        fleet = self._membership.peer_tracker.fleet_version_counts()
        for entries in fleet.values():
            reported += (
                entry
                for entry in entries
                if (entry.roll_out, entry.version) == (roll_out, version)
            )
        return decisions.VersionSample(
            requests=sum(entry.requests for entry in reported),
            failures=sum(entry.failures for entry in reported),
            ratings=sum(entry.ratings for entry in reported),
            rating_sum=sum(entry.rating_sum_milli for entry in reported)
            / _MILLI,
            suspended_routers=sum(entry.restrained for entry in reported),
        )


def list_roll_outs(
    membership: node.Membership,
) -> Iterable[rollouts_model.RolloutState]:
    """Returns the rollout states in force."""
    current = membership.state.current
    return current.roll_outs.values() if current else ()


def build_version_counts(
    version_counts: counts.VersionCounts,
) -> Iterable[node_pb2.VersionCounts]:
    """Returns the counts of this router as protobuf messages for reports."""
    return [
        node_pb2.VersionCounts(
            roll_out=entry.roll_out,
            version=entry.version,
            requests=entry.requests,
            failures=entry.failures,
            ratings=entry.ratings,
            rating_sum_milli=entry.rating_sum_milli,
            restrained=entry.restrained,
        )
        for entry in version_counts.list_counts()
    ]


def update_limits(
    membership: node.Membership, limiter: limits.AccountLimiter
) -> None:
    """Updates the limiter with the reported demands of the other routers."""
    now_s = asyncio.get_running_loop().time()
    demands = membership.peer_tracker.fleet_demands(now_s)
    limiter.set_remote_demands(
        [entry for entries in demands.values() for entry in entries],
        {membership.identity.vm, *demands},
        listed_vms=len(membership.peer_tracker.entry_vms()),
    )
