"""Announced configuration changes whose outcome is not yet known."""

import collections
import dataclasses

from dragonflydyke.protocol import node_pb2

# A conditional write takes effect within this time of its announcement or not
# at all.
PENDING_S = 10.0
_MAX_RESOLVED_IDS = 1_000


@dataclasses.dataclass(slots=True, frozen=True)
class _PendingChange:
    revision: int
    outcome_certain_s: float


class AnnouncementTracker:
    """Tracks announced changes until their outcome is known on this node.

    The outcome of a change is known when its acceptor reports it, when its
    revision is in force here, or when the platform confirmed the state of
    this node after the last time at which the change could be written. A
    timeout alone does not end the pending state: an acceptor can be isolated
    directly after its write, and without the platform the nodes that
    acknowledged the change would then form a majority that serves the old
    revision.
    """

    __slots__ = ("_pending", "_resolved_ids", "_written_revision")

    def __init__(self) -> None:
        self._pending: dict[str, _PendingChange] = {}
        self._resolved_ids: collections.deque[str] = collections.deque(
            maxlen=_MAX_RESOLVED_IDS
        )
        self._written_revision = 0

    def record(
        self, announcement: node_pb2.ChangeAnnouncement, now_s: float
    ) -> None:
        """Records the announcement of a change or the report of its outcome."""
        change_id = announcement.change_id
        if announcement.resolved:
            self._pending.pop(change_id, None)
            if change_id not in self._resolved_ids:
                self._resolved_ids.append(change_id)
            if announcement.written:
                self._written_revision = max(
                    self._written_revision, announcement.revision
                )
            return
        if change_id in self._resolved_ids:
            return  # The announcement arrived after its resolution.
        self._pending[change_id] = _PendingChange(
            announcement.revision, now_s + PENDING_S
        )

    def count_pending(self, revision: int, confirmed_s: float | None) -> int:
        """Returns the number of changes that may be in force on other nodes.

        Args:
            revision: Revision in force on this node. Announced changes up to
                it were either written or superseded by the change that was.
            confirmed_s: Loop time of the newest valid platform confirmation.
        """
        for change_id, pending in tuple(self._pending.items()):
            confirmed = (
                confirmed_s is not None
                and confirmed_s >= pending.outcome_certain_s
            )
            if confirmed or pending.revision <= revision:
                del self._pending[change_id]
        return len(self._pending) + (self._written_revision > revision)
