"""Detection of backend servers that fail or are much slower than others."""

import dataclasses
import statistics
from collections.abc import Iterable

_SMOOTHING = 0.2
_MIN_SAMPLES = 5
_MAX_ERROR_SHARE = 0.5
_LATENCY_FACTOR = 3.0
_MIN_PEERS = 2
_BASE_EJECTION_S = 5.0
_MAX_EJECTION_S = 60.0
_RECOVERY_S = 10.0
_INITIAL_RECOVERY_WEIGHT = 0.1
_MAX_EJECTED_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class _Health:
    samples: int = 0
    error_share: float = 0.0
    latency: float | None = None
    ejections: int = 0
    ejected_at_s: float = 0.0
    ejected_until_s: float | None = None


class OutlierDetector:
    """Ejects servers by errors and latency and lets them return slowly.

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
        """Records the end of an attempt.

        Args:
            server: Name of the server.
            now_s: Current time.
            failed: Whether the server was at fault for a failure.
            latency: Time to the first byte as a multiple of the usual time
                for work of its kind, None if there was no byte.
            peers: Names of servers with the same work.

        Returns:
            Whether the server was ejected by this record.
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
        errs = health.error_share > _MAX_ERROR_SHARE
        if not errs and not self._is_slow(server, health, peers):
            return False
        self._eject(health, now_s)
        return True

    def find_ejected(
        self, servers: Iterable[str], now_s: float
    ) -> frozenset[str]:
        """Returns which of the servers receive no work now.

        At most half of the servers are ejected, those that were ejected
        first; when most fail, the cause is rarely the servers.
        """
        names = list(servers)
        out = [
            name
            for name in names
            if name in self._health
            and self._is_ejected(self._health[name], now_s)
        ]
        out.sort(key=lambda name: self._health[name].ejected_at_s)
        return frozenset(out[: int(len(names) * _MAX_EJECTED_SHARE)])

    def recovery_weight(self, server: str, now_s: float) -> float:
        """Returns the share of its usual work that a server gets, 0..1."""
        health = self._health.get(server)
        if health is None or health.ejected_until_s is None:
            return 1.0
        since = now_s - health.ejected_until_s
        if since >= _RECOVERY_S:
            return 1.0
        rise = max(0.0, since) / _RECOVERY_S
        return (
            _INITIAL_RECOVERY_WEIGHT + (1.0 - _INITIAL_RECOVERY_WEIGHT) * rise
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
        known = [latency for latency in others if latency is not None]
        if len(known) < _MIN_PEERS:
            return False
        usual = statistics.median(known)
        return health.latency > usual * _LATENCY_FACTOR

    def _eject(self, health: _Health, now_s: float) -> None:
        duration = min(_BASE_EJECTION_S * 2**health.ejections, _MAX_EJECTION_S)
        recovered = health.ejected_until_s
        if recovered is not None and now_s - recovered > _MAX_EJECTION_S:
            duration = _BASE_EJECTION_S
            health.ejections = 0
        health.ejections = min(health.ejections + 1, 10)
        health.ejected_at_s = now_s
        health.ejected_until_s = now_s + duration
        health.samples = 0
        health.error_share = 0.0
        health.latency = None
