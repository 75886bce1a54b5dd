"""A lease in the platform, with a fencing token for each holder.

The clocks of the VMs are not compared. A holder trusts its lease for its
duration after the start of the last successful renewal, less a margin; another
node takes it over only after it has seen the object unchanged for the whole
duration on its own clock. A paused holder that wakes therefore finds its lease
expired before it acts, and its conditional writes fail.
"""

import asyncio
import dataclasses

from dragonflydyke import errors, logs, metrics, objects

KIND = "leases"
DURATION_S = 10.0
# Covers the time between a validity check and the arrival of an order.
MARGIN_S = 3.0
RENEWAL_INTERVAL_S = 3.0

_log = logs.get_logger("rollouts.lease")


@dataclasses.dataclass(slots=True)
class _Observation:
    version: int
    seen_at_s: float


class Lease:
    """One node's view of a lease."""

    __slots__ = (
        "_counters",
        "_fencing",
        "_holder",
        "_name",
        "_objects",
        "_observed",
        "_renewed_at_s",
        "_version",
    )

    def __init__(
        self,
        name: str,
        holder: str,
        store: objects.ObjectStore,
        counters: metrics.Counters,
    ) -> None:
        """Creates a view that holds nothing.

        Args:
            name: Name of the lease object.
            holder: Identity of this process; unique per process start.
            store: The platform's object API.
            counters: Receives `lease.<event>`.
        """
        self._name = name
        self._holder = holder
        self._objects = store
        self._counters = counters
        self._fencing = 0
        self._version = 0
        self._renewed_at_s: float | None = None
        self._observed: _Observation | None = None

    @property
    def fencing(self) -> int:
        """Fencing token of the present holding; raises unless valid."""
        if not self.is_valid():
            raise errors.DragonflydykeError(
                "lease_not_held",
                f"lease {self._name} is not held by this router",
                step=errors.Step.ROLL_OUT,
                retry_after_s=DURATION_S,
                status=503,
            )
        return self._fencing

    def is_valid(self) -> bool:
        """Returns whether this process may act as the holder now."""
        if self._renewed_at_s is None:
            return False
        age_s = asyncio.get_running_loop().time() - self._renewed_at_s
        return age_s < DURATION_S - MARGIN_S

    async def maintain(self) -> bool:
        """Renews the lease, or takes it over when it has expired.

        Returns:
            Whether this process holds the lease afterwards.
        """
        try:
            if self._renewed_at_s is not None:
                await self._renew()
            else:
                await self._observe()
        except objects.ConflictError:
            self._lose("conflict")
        except objects.OutcomeUnknownError:
            await self._read_back()
        except objects.PlatformUnavailableError:
            self._counters.increment("lease.platform_unavailable")
        return self.is_valid()

    async def release(self) -> None:
        """Gives the lease up so that another router need not wait."""
        if not self.is_valid():
            return
        value = self._value(self._fencing, released=True)
        self._renewed_at_s = None
        try:
            await self._objects.update(KIND, self._name, value, self._version)
        except errors.DragonflydykeError:
            self._counters.increment("lease.release_failed")

    async def _renew(self) -> None:
        started_at_s = asyncio.get_running_loop().time()
        stored = await self._objects.update(
            KIND, self._name, self._value(self._fencing), self._version
        )
        self._hold(stored, started_at_s)

    async def _observe(self) -> None:
        now_s = asyncio.get_running_loop().time()
        stored = await self._objects.get(KIND, self._name)
        if stored is None:
            created = await self._objects.create(
                KIND, self._name, self._value(1)
            )
            self._hold(created, now_s)
            return
        if self._observed is None or self._observed.version != stored.version:
            self._observed = _Observation(stored.version, now_s)
        expired = now_s - self._observed.seen_at_s >= DURATION_S
        if expired or stored.value["released"]:
            await self._take_over(stored)

    async def _take_over(self, stored: objects.StoredObject) -> None:
        started_at_s = asyncio.get_running_loop().time()
        fencing = stored.value["fencing"] + 1
        updated = await self._objects.update(
            KIND, self._name, self._value(fencing), stored.version
        )
        self._hold(updated, started_at_s)

    async def _read_back(self) -> None:
        started_at_s = asyncio.get_running_loop().time()
        try:
            stored = await self._objects.get(KIND, self._name)
        except objects.PlatformUnavailableError:
            self._lose("outcome unknown")
            return
        if stored is None or stored.value["holder"] != self._holder:
            self._lose("outcome unknown")
            return
        self._hold(stored, started_at_s)

    def _hold(self, stored: objects.StoredObject, started_at_s: float) -> None:
        if self._renewed_at_s is None:
            self._counters.increment("lease.acquired")
            _log.info(
                "lease acquired",
                lease=self._name,
                fencing=stored.value["fencing"],
            )
        self._fencing = stored.value["fencing"]
        self._version = stored.version
        self._renewed_at_s = started_at_s
        self._observed = None

    def _lose(self, reason: str) -> None:
        if self._renewed_at_s is None:
            return
        self._renewed_at_s = None
        self._counters.increment("lease.lost")
        _log.notice("lease lost", lease=self._name, reason=reason)

    def _value(
        self, fencing: int, *, released: bool = False
    ) -> dict[str, object]:
        return {
            "holder": self._holder,
            "fencing": fencing,
            "released": released,
        }
