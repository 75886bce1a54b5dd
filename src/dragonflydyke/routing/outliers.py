"""Detection of backend servers that fail or are much slower than others."""

import dataclasses
import statistics
from collections.abc import Collection, Iterable

_SMOOTHING = 0.2
_MIN_SAMPLES = 5
_MAX_ERROR_SHARE = 0.5
_LATENCY_FACTOR = 3.0
_MIN_PEERS = 2
_BASE_EJECTION_S = 5.0
_MAX_EJECTION_S = 60.0
# Time over which the work of a readmitted server increases to its normal share.
_RECOVERY_S = 10.0
_INITIAL_RECOVERY_WEIGHT = 0.1
_MAX_EJECTED_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class _Health:
    """Health of one server.

    Attributes:
        samples: Attempts since the last ejection.
        error_share: Moving average of failed attempts, 0..1.
        latency: Moving average of the latency as a multiple of the baseline,
            None without samples.
        ejections: Consecutive ejections, which double the duration of the next.
        ejected_at_s: Start of the last ejection.
        ejected_until_s: End of the last ejection, None before the first.
    """

    samples: int = 0
    error_share: float = 0.0
    latency: float | None = None
    ejections: int = 0
    ejected_at_s: float = 0.0
    ejected_until_s: float | None = None


class OutlierDetector:
    """Ejects servers by error share and latency, and readmits them gradually.

    Times are seconds of one monotonic clock.
    """

    __slots__ = ("_health",)

    def __init__(self) -> None:
        self._health: dict[str, _Health] = {}

    def record(
        self,
        server: str,
        now_s: float,
        *,
        failed: bool,
        latency: float | None,
        peers: Iterable[str],
    ) -> bool:
        """Records the outcome of an attempt.

        Args:
            server: Name of the server.
            now_s: Current time.
            failed: Whether the attempt failed and the failure is attributed
                to the server.
            latency: Time to the first byte as a multiple of the baseline
                for work of its kind, None if no byte was received.
            peers: Names of servers with the same kind of work.

        Returns:
            Whether this outcome caused the server to be ejected.
        """
        health = self._health.setdefault(server, _Health())
        health.samples += 1
        health.error_share += _SMOOTHING * (failed - health.error_share)
        if latency is not None:
            before = health.latency
            health.latency = (
                latency
                if before is None
                else before + _SMOOTHING * (latency - before)
            )
        if self._is_ejected(health, now_s) or health.samples < _MIN_SAMPLES:
            return False
        has_errors = health.error_share > _MAX_ERROR_SHARE
        if not has_errors and not self._is_slow(server, health, peers):
            return False
        self._eject(health, now_s)
        return True

    def retain(self, servers: Collection[str]) -> None:
        """Forgets all other servers."""
        self._health = {n: h for n, h in self._health.items() if n in servers}

    def find_ejected(
        self, servers: Iterable[str], now_s: float
    ) -> frozenset[str]:
        """Returns the servers that are ejected now.

        At most half of the given servers are returned, those ejected earliest:
        when most servers fail, the cause is rarely in the servers.
        """
        server_names = list(servers)
        ejected = [
            name
            for name in server_names
            if name in self._health
            and self._is_ejected(self._health[name], now_s)
        ]
        ejected.sort(key=lambda name: self._health[name].ejected_at_s)
        return frozenset(ejected[: int(len(server_names) * _MAX_EJECTED_SHARE)])

    def compute_recovery_weight(self, server: str, now_s: float) -> float:
        """Returns the share of its normal work that a server gets, 0..1.

        After an ejection the share increases linearly for `_RECOVERY_S`.
        """
        health = self._health.get(server)
        if health is None or health.ejected_until_s is None:
            return 1.0
        elapsed_s = now_s - health.ejected_until_s
        if elapsed_s >= _RECOVERY_S:
            return 1.0
        progress = max(0.0, elapsed_s) / _RECOVERY_S
        return (
            _INITIAL_RECOVERY_WEIGHT
            + (1.0 - _INITIAL_RECOVERY_WEIGHT) * progress
        )

    def _is_ejected(self, health: _Health, now_s: float) -> bool:
        until = health.ejected_until_s
        return until is not None and now_s < until

    def _is_slow(
        self, server: str, health: _Health, peers: Iterable[str]
    ) -> bool:
        if health.latency is None:
            return False
        others = [
            self._health[name].latency
            for name in peers
            if name != server
            and name in self._health
            and self._health[name].samples >= _MIN_SAMPLES
        ]
        latencies = [latency for latency in others if latency is not None]
        if len(latencies) < _MIN_PEERS:
            return False
        median_latency = statistics.median(latencies)
        return health.latency > median_latency * _LATENCY_FACTOR

    def _eject(self, health: _Health, now_s: float) -> None:
        duration_s = min(
            _BASE_EJECTION_S * 2**health.ejections, _MAX_EJECTION_S
        )
        previous_end_s = health.ejected_until_s
        if (
            previous_end_s is not None
            and now_s - previous_end_s > _MAX_EJECTION_S
        ):
            duration_s = _BASE_EJECTION_S
            health.ejections = 0
        health.ejections = min(health.ejections + 1, 10)
        health.ejected_at_s = now_s
        health.ejected_until_s = now_s + duration_s
        health.samples = 0
        health.error_share = 0.0
        health.latency = None
