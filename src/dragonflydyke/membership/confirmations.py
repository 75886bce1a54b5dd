"""Platform confirmations that count for this node."""

from dragonflydyke.membership import state

CONFIRMATION_MAX_AGE_S = 4.0
_MAX_NOT_ADOPTED = 100


class ConfirmationTracker:
    """Newest time at which the platform is known to have held our state.

    A confirmation says that the control objects were at some version at some
    time. It counts once this node has adopted everything up to that version.
    """

    __slots__ = ("_local_read_s", "_newest_s", "_not_adopted", "_state")

    def __init__(self, state_store: state.StateStore) -> None:
        self._state = state_store
        self._newest_s: float | None = None
        self._local_read_s: float | None = None
        self._not_adopted: dict[int, float] = {}

    def record(self, time_s: float, control_version: int) -> None:
        """Records a confirmation.

        Args:
            time_s: Loop time not after the moment of the confirmation.
            control_version: Version of the control objects at that moment.
        """
        known = self._not_adopted.get(control_version)
        if known is None or known < time_s:
            self._not_adopted[control_version] = time_s
        self._count_adopted()

    def record_local_read(self, time_s: float, control_version: int) -> None:
        """Records a confirmation from this node's own read."""
        self._local_read_s = max(time_s, self._local_read_s or time_s)
        self.record(time_s, control_version)

    def newest_age(self, now_s: float) -> float | None:
        """Returns the age in seconds of the newest one that counts."""
        newest_s = self.newest_s()
        return None if newest_s is None else now_s - newest_s

    def newest_s(self) -> float | None:
        """Returns the loop time of the newest one that counts."""
        self._count_adopted()
        return self._newest_s

    def local_read_age(self, now_s: float) -> float | None:
        """Returns seconds since this node itself reached the platform."""
        return (
            None if self._local_read_s is None else now_s - self._local_read_s
        )

    def is_confirmed(self, now_s: float) -> bool:
        """Returns whether rule A of the serving permit holds."""
        age_s = self.newest_age(now_s)
        return age_s is not None and age_s <= CONFIRMATION_MAX_AGE_S

    def _count_adopted(self) -> None:
        for version, time_s in tuple(self._not_adopted.items()):
            if version <= self._state.control_version:
                self._newest_s = max(time_s, self._newest_s or time_s)
                del self._not_adopted[version]
        # Only versions that peers adopted since our last fetch wait here.
        while len(self._not_adopted) > _MAX_NOT_ADOPTED:
            del self._not_adopted[min(self._not_adopted)]
