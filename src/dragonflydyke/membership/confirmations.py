"""Platform confirmations that count for this node."""

from dragonflydyke.membership import state

CONFIRMATION_MAX_AGE_S = 4.0
_MAX_WAITING = 100


class Confirmations:
    """Newest time at which the platform is known to have held our state.

    A confirmation says that the control objects were at some version at some
    time. It counts once this node has adopted everything up to that version.
    """

    __slots__ = ("_newest_s", "_own_s", "_state", "_waiting")

    def __init__(self, state_store: state.StateStore) -> None:
        self._state = state_store
        self._newest_s: float | None = None
        self._own_s: float | None = None
        self._waiting: dict[int, float] = {}

    def record(self, time_s: float, control_version: int) -> None:
        """Records a confirmation.

        Args:
            time_s: Loop time not after the moment of the confirmation.
            control_version: Version of the control objects at that moment.
        """
        known = self._waiting.get(control_version)
        if known is None or known < time_s:
            self._waiting[control_version] = time_s
        self._settle()

    def record_own(self, time_s: float, control_version: int) -> None:
        """Records a confirmation from this node's own read."""
        self._own_s = max(time_s, self._own_s or time_s)
        self.record(time_s, control_version)

    def newest_age(self, now_s: float) -> float | None:
        """Returns the age in seconds of the newest one that counts."""
        newest_s = self.newest_s()
        return None if newest_s is None else now_s - newest_s

    def newest_s(self) -> float | None:
        """Returns the loop time of the newest one that counts."""
        self._settle()
        return self._newest_s

    def own_age(self, now_s: float) -> float | None:
        """Returns seconds since this node itself reached the platform."""
        return None if self._own_s is None else now_s - self._own_s

    def is_confirmed(self, now_s: float) -> bool:
        """Returns whether rule A of the serving permit holds."""
        age_s = self.newest_age(now_s)
        return age_s is not None and age_s <= CONFIRMATION_MAX_AGE_S

    def _settle(self) -> None:
        for version, time_s in tuple(self._waiting.items()):
            if version <= self._state.control_version:
                self._newest_s = max(time_s, self._newest_s or time_s)
                del self._waiting[version]
        # Only versions that peers adopted since our last fetch wait here.
        while len(self._waiting) > _MAX_WAITING:
            del self._waiting[min(self._waiting)]
