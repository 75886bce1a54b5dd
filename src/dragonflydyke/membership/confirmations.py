"""Confirmations by the platform that the state of this node is current."""

from dragonflydyke.membership import state

CONFIRMATION_MAX_AGE_S = 4.0
_MAX_UNADOPTED = 100


class ConfirmationTracker:
    """Tracks the newest time at which the state of this node was current.

    A confirmation states the version of the platform's control objects at a
    point in time. It is valid for this node only after the node has adopted
    all control objects up to that version.
    """

    __slots__ = ("_local_read_s", "_newest_s", "_state", "_unadopted_times_s")

    def __init__(self, state_store: state.StateStore) -> None:
        self._state = state_store
        self._newest_s: float | None = None
        self._local_read_s: float | None = None
        self._unadopted_times_s: dict[int, float] = {}

    def record(self, time_s: float, control_version: int) -> None:
        """Records a confirmation.

        Args:
            time_s: Loop time that is not later than the confirmation.
            control_version: Version of the control objects at that time.
        """
        previous_s = self._unadopted_times_s.get(control_version)
        if previous_s is None or previous_s < time_s:
            self._unadopted_times_s[control_version] = time_s
        self._validate_adopted()

    def record_local_read(self, time_s: float, control_version: int) -> None:
        """Records a confirmation from a platform read by this node."""
        self._local_read_s = max(time_s, self._local_read_s or time_s)
        self.record(time_s, control_version)

    def newest_age(self, now_s: float) -> float | None:
        """Returns the age of the newest valid confirmation in seconds."""
        newest_s = self.newest_s()
        return None if newest_s is None else now_s - newest_s

    def newest_s(self) -> float | None:
        """Returns the loop time of the newest valid confirmation."""
        self._validate_adopted()
        return self._newest_s

    def local_read_age(self, now_s: float) -> float | None:
        """Returns the seconds since this node last read the platform."""
        return (
            None if self._local_read_s is None else now_s - self._local_read_s
        )

    def is_confirmed(self, now_s: float) -> bool:
        """Returns whether the newest valid confirmation is recent enough.

        This is the condition of `PermitRule.CONFIRMED`.
        """
        age_s = self.newest_age(now_s)
        return age_s is not None and age_s <= CONFIRMATION_MAX_AGE_S

    def _validate_adopted(self) -> None:
        for version, time_s in tuple(self._unadopted_times_s.items()):
            if version <= self._state.control_version:
                self._newest_s = max(time_s, self._newest_s or time_s)
                del self._unadopted_times_s[version]
        # Only versions that peers adopted since the last fetch of this node
        # remain.
        while len(self._unadopted_times_s) > _MAX_UNADOPTED:
            del self._unadopted_times_s[min(self._unadopted_times_s)]
