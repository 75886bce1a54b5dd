"""Announced configuration changes whose outcome is not known."""

import collections
import dataclasses

from dragonflydyke.protocol import node_pb2

# Within this time of its announcement, a conditional write takes effect or
# never does.
PENDING_S = 10.0
_MAX_RESOLVED_IDS = 1_000


@dataclasses.dataclass(slots=True, frozen=True)
class _PendingChange:
    revision: int
    outcome_certain_s: float


class AnnouncementTracker:
    """Changes that other routers, or this one, are about to write.

    A change stays pending until its outcome is known to this node: it is
    resolved explicitly, its revision is in force, or the platform was
    confirmed after the last moment at which it could be written. Time alone
    does not settle it. An acceptor can be cut off right after its write, and
    the nodes that acknowledged the change would then serve the old revision
    as a majority without the platform.
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
        """Records an announcement or its resolution."""
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
            return  # An announcement that arrives after its resolution.
        self._pending[change_id] = _PendingChange(
            announcement.revision, now_s + PENDING_S
        )

    def count_pending(self, revision: int, confirmed_s: float | None) -> int:
        """Returns the number of changes that may be in force elsewhere.

        Args:
            revision: Revision in force on this node; announcements up to it
                were written, or lost to the change that was.
            confirmed_s: Loop time of the newest confirmation that counts.
        """
        for change_id, pending in tuple(self._pending.items()):
            confirmed = (
                confirmed_s is not None
                and confirmed_s >= pending.outcome_certain_s
            )
            if confirmed or pending.revision <= revision:
                del self._pending[change_id]
        return len(self._pending) + (self._written_revision > revision)
