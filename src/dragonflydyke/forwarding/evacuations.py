"""Data centres that operators evacuate; no I/O.

Designed for operators who empty a few data centres at a time while all nodes
serve at full load, and for a store that is away, stale or restored meanwhile.
Only the names in the store count. What a node knows holds until the store says
otherwise, so that an evacuation outlasts a store that is away.
"""

from collections.abc import Collection, Iterable

from dragonflydyke import logs, metrics
from dragonflydyke.objects import model as objects

# Operators write again what a restore of the store lost. This time equals the
# one for which lost orders of rollouts are kept.
RETURN_S = 10.0
# Number of ends that are remembered; the names come from other writers.
_MAX_ENDED = 1_024
# Number of names in one log line.
_MAX_LOGGED_NAMES = 8

_LOGGER = logs.get_logger("evacuations")


class Evacuations:
    """Evacuated data centres; times are loop times in seconds.

    Attributes:
        updated_s: Time of the last update, None before the first.
    """

    __slots__ = (
        "_counters",
        "_ended_s",
        "_evacuated",
        "_kept_until_s",
        "_unknown",
        "_version",
        "updated_s",
    )

    def __init__(self, counters: metrics.Counters) -> None:
        """Creates a state without evacuations.

        Args:
            counters: Receives `evacuation.unknown`.
        """
        self._counters = counters
        self._ended_s: dict[str, float] = {}
        self._evacuated: frozenset[str] = frozenset()
        # Evacuations that a restored store lacks.
        self._kept_until_s: dict[str, float] = {}
        self._unknown: frozenset[str] = frozenset()
        self._version = 0
        self.updated_s: float | None = None

    def update(
        self,
        names: Iterable[str],
        now_s: float,
        version: int,
        known: Collection[str] | None = None,
    ) -> None:
        """Replaces the evacuated data centres with those in the store.

        Args:
            names: Names of all entries in the store.
            now_s: Current loop time.
            version: Version of the store.
            known: Data centres that this node knows, None if that cannot be
                said yet. Entries with other names count as well.
        """
        self.expire(now_s)
        listed = frozenset(names)
        is_restored = self.updated_s is not None and objects.is_of_later_era(
            version, self._version
        )
        self.updated_s = now_s
        self._version = version
        for name in listed:
            self._kept_until_s.pop(name, None)
        missing = self._evacuated - listed
        if is_restored:
            self._keep_missing(missing, now_s)
        for name in sorted(missing - self._kept_until_s.keys()):
            self._record_end(name, now_s)
        begun = listed - self._evacuated
        self._evacuated = listed | self._kept_until_s.keys()
        if known is None:
            self._unknown &= self._evacuated
        else:
            self._unknown = self._evacuated.difference(known)
        self._log_begun(begun)

    def expire(self, now_s: float) -> None:
        """Ends the evacuations that did not return after a restore."""
        for name, until_s in list(self._kept_until_s.items()):
            if until_s <= now_s:
                del self._kept_until_s[name]
                self._evacuated -= {name}
                self._record_end(name, now_s)

    def is_evacuated(self, data_centre: str) -> bool:
        """Returns whether no new requests may go to a data centre."""
        return data_centre in self._evacuated

    @property
    def names(self) -> frozenset[str]:
        """Names of the evacuated data centres."""
        return self._evacuated

    def find_ended_s(self, data_centre: str) -> float | None:
        """Returns when this node saw the last evacuation of a data centre end.

        An evacuation that began and ended while the process was suspended, or
        before it started, was not seen.

        Returns:
            The loop time, or None if no end was seen.
        """
        return self._ended_s.get(data_centre)

    def _keep_missing(self, missing: frozenset[str], now_s: float) -> None:
        """Keeps evacuations that a restore of the store lost.

        The removal of an entry and its loss look the same after a restore.
        """
        for name in sorted(missing - self._kept_until_s.keys()):
            self._kept_until_s[name] = now_s + RETURN_S
            if name not in self._unknown:
                _LOGGER.warning(
                    "restored store lacks an evacuation", data_centre=name
                )

    def _record_end(self, name: str, now_s: float) -> None:
        # The newest end is last, so that the oldest is dropped first.
        self._ended_s.pop(name, None)
        self._ended_s[name] = now_s
        if len(self._ended_s) > _MAX_ENDED:
            del self._ended_s[next(iter(self._ended_s))]
        if name not in self._unknown:
            _LOGGER.notice("evacuation ended", data_centre=name)

    def _log_begun(self, begun: frozenset[str]) -> None:
        """Logs new evacuations, and in one line those of unknown names."""
        for name in sorted(begun - self._unknown):
            _LOGGER.notice("data centre is evacuated", data_centre=name)
        unknown = sorted(begun & self._unknown)
        if not unknown:
            return
        self._counters.increment("evacuation.unknown", len(unknown))
        _LOGGER.warning(
            "evacuation names no known data centre",
            names=unknown[:_MAX_LOGGED_NAMES],
            count=len(unknown),
        )
