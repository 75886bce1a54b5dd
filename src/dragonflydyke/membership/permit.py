"""Decides whether this node may serve new requests."""

import asyncio
import enum

from dragonflydyke import errors, logs, metrics
from dragonflydyke.membership import (
    announcements,
    confirmations,
    peer_reports,
    state,
)

# A change that this node acknowledged before a restart may be pending for this
# time, and the new incarnation has no record of it.
RECENT_START_S = announcements.PENDING_S
_RETRY_AFTER_S = 1.0

_logger = logs.get_logger("membership.permit")


class PermitRule(enum.Enum):
    """Condition under which a node may serve.

    Attributes:
        CONFIRMED: The platform confirmed recently that the node's state is
            current.
        PLATFORM_OUTAGE: There is no recent confirmation, but a majority of
            the listed VMs is alive, no change is pending on this node or on
            these VMs, and none of them has a higher revision.
    """

    CONFIRMED = "confirmed"
    PLATFORM_OUTAGE = "platform_outage"


class ServingPermit:
    """Permit to serve, computed from timestamps at each check."""

    __slots__ = (
        "_announcement_tracker",
        "_confirmation_tracker",
        "_counters",
        "_last_rule",
        "_own_name",
        "_peer_tracker",
        "_started_s",
        "_state",
    )

    def __init__(
        self,
        own_name: str,
        state_store: state.StateStore,
        confirmation_tracker: confirmations.ConfirmationTracker,
        peer_tracker: peer_reports.PeerTracker,
        announcement_tracker: announcements.AnnouncementTracker,
        counters: metrics.Counters,
    ) -> None:
        """Creates the permit of a process that is just starting."""
        self._own_name = own_name
        self._state = state_store
        self._confirmation_tracker = confirmation_tracker
        self._peer_tracker = peer_tracker
        self._announcement_tracker = announcement_tracker
        self._counters = counters
        self._started_s = asyncio.get_running_loop().time()
        self._last_rule: PermitRule | None = None

    def check(self) -> None:
        """Raises unless this node may serve a new request.

        Raises:
            DragonflydykeError: `not_confirmed`; the request was not executed.
        """
        if self.is_granted():
            return
        self._counters.increment("refusal.not_confirmed")
        raise errors.DragonflydykeError(
            "not_confirmed",
            "this router cannot confirm that its configuration is current; "
            "retry the request through another router",
            step=errors.Step.ADMIT,
            retry_after_s=_RETRY_AFTER_S,
            status=503,
        )

    def is_granted(self) -> bool:
        """Returns whether this node may serve a new request."""
        return self.current_rule() is not None

    def current_rule(self) -> PermitRule | None:
        """Returns the rule that permits serving now, or None.

        Logs and counts a change since the previous call.
        """
        rule = self._evaluate(asyncio.get_running_loop().time())
        if rule is not self._last_rule:
            self._log_change(rule)
        return rule

    def is_recently_started(self) -> bool:
        """Returns whether a change acknowledged before may be pending."""
        now_s = asyncio.get_running_loop().time()
        return now_s - self._started_s < RECENT_START_S

    def _evaluate(self, now_s: float) -> PermitRule | None:
        if self._state.current is None:
            return None
        if self._confirmation_tracker.is_confirmed(now_s):
            return PermitRule.CONFIRMED
        if self._is_outage_permitted(now_s):
            return PermitRule.PLATFORM_OUTAGE
        return None

    def _is_outage_permitted(self, now_s: float) -> bool:
        revision = self._state.revision
        confirmed_s = self._confirmation_tracker.newest_s()
        if self._announcement_tracker.count_pending(revision, confirmed_s) > 0:
            return False
        if self._peer_tracker.count_pending_announcements(now_s) > 0:
            return False
        if self._peer_tracker.highest_revision(now_s) > revision:
            return False
        return self._peer_tracker.is_majority(self._list_eligible_vms(now_s))

    def _list_eligible_vms(self, now_s: float) -> set[str]:
        """Returns the alive VMs without those that started recently.

        A VM that acknowledged a change and then restarted does not report the
        change as pending. It must not count towards a majority that would
        serve without this change.
        """
        names = set(self._peer_tracker.alive_vms(now_s))
        if self.is_recently_started():
            names.discard(self._own_name)
        starting_ms = RECENT_START_S * 1_000
        for name, received in self._peer_tracker.direct_reports(now_s).items():
            names.difference_update(received.report.starting_vms)
            if received.report.uptime_ms < starting_ms:
                names.discard(name)
        return names

    def _log_change(self, rule: PermitRule | None) -> None:
        before = self._last_rule.value if self._last_rule else "none"
        self._last_rule = rule
        if rule is None:
            _logger.warning("serving permit lost", before=before)
            self._counters.increment("permit.lost")
            return
        _logger.info("serving permit granted", rule=rule.value, before=before)
        self._counters.increment(f"permit.{rule.value}")
