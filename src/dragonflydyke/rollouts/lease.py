"""A lease in the platform's object store, with a fencing token per holder.

The clocks of the VMs are not compared. A lease holder considers its lease valid
for the duration of the lease, less a margin, from the start of the last
successful renewal. Another node takes the lease over only after it has observed
the object unchanged for the whole duration by its own clock. A lease holder
that was paused therefore finds its lease expired before it acts, and its
conditional writes fail.

A lease ends when the platform is restored from a copy, which may lack it. The
fencing tokens of a platform's era are above those of earlier eras, so that a
lost token is not issued again.
"""

import asyncio
import dataclasses

from dragonflydyke import errors, logs, metrics, objects
from dragonflydyke.objects import model

KIND = "leases"
DURATION_S = 10.0
# Covers the time from the validity check to the arrival of an order at the
# engine.
MARGIN_S = 3.0
RENEWAL_INTERVAL_S = 3.0

_log = logs.get_logger("rollouts.lease")


@dataclasses.dataclass(slots=True)
class _ObservedVersion:
    """Version of the lease object, and when this node first observed it.

    Attributes:
        version: Version of the stored object.
        seen_at_s: Loop time of the first read with this version.
    """

    version: int
    seen_at_s: float


class Lease:
    """A lease as one node has observed it, which may be the lease holder."""

    __slots__ = (
        "_counters",
        "_fencing_token",
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
        """Creates a lease that is not held.

        Args:
            name: Name of the lease object.
            holder: Identity of this process, unique per process start.
            store: The platform's object API.
            counters: Receives `lease.<event>`.
        """
        self._name = name
        self._holder = holder
        self._objects = store
        self._counters = counters
        self._fencing_token = 0
        self._version = 0
        self._renewed_at_s: float | None = None
        self._observed: _ObservedVersion | None = None

    @property
    def fencing_token(self) -> int:
        """Fencing token of the current lease term.

        Raises:
            DragonflydykeError: `lease_not_held` (503) if the lease is not held
                or has expired.
        """
        if not self.is_valid():
            raise errors.DragonflydykeError(
                "lease_not_held",
                f"lease {self._name} is not held by this router",
                step=errors.Step.ROLL_OUT,
                retry_after_s=DURATION_S,
                status=503,
            )
        return self._fencing_token

    def is_valid(self) -> bool:
        """Returns whether this process may act as the lease holder now."""
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
                await self._try_acquire()
        except objects.ConflictError:
            self._record_loss("conflict")
        except objects.OutcomeUnknownError:
            await self._read_back()
        except objects.PlatformUnavailableError:
            self._counters.increment("lease.platform_unavailable")
        return self.is_valid()

    async def release(self) -> None:
        """Releases the lease, so that another router can take it at once."""
        if not self.is_valid():
            return
        value = self._build_value(self._fencing_token, released=True)
        self._renewed_at_s = None
        try:
            await self._objects.update(KIND, self._name, value, self._version)
        except errors.DragonflydykeError:
            self._counters.increment("lease.release_failed")

    async def _renew(self) -> None:
        started_at_s = asyncio.get_running_loop().time()
        stored = await self._objects.update(
            KIND,
            self._name,
            self._build_value(self._fencing_token),
            self._version,
        )
        self._record_held(stored, started_at_s)

    async def _try_acquire(self) -> None:
        now_s = asyncio.get_running_loop().time()
        stored = await self._objects.get(KIND, self._name)
        if stored is None:
            await self._create()
            return
        if self._observed is None or self._observed.version != stored.version:
            self._observed = _ObservedVersion(stored.version, now_s)
        expired = now_s - self._observed.seen_at_s >= DURATION_S
        if expired or stored.value["released"]:
            await self._take_over(stored)

    async def _create(self) -> None:
        """Creates the lease and acquires it, unless another may hold it.

        A lease that was observed before is missing from a restored platform.
        Its holder may consider it valid until it expires.
        """
        now_s = asyncio.get_running_loop().time()
        is_lost = self._version > 0 or self._observed is not None
        value = {"holder": "", "fencing": 0, "released": not is_lost}
        created = await self._objects.create(KIND, self._name, value)
        if is_lost:
            self._observed = _ObservedVersion(created.version, now_s)
        else:
            await self._take_over(created)

    async def _take_over(self, stored: objects.StoredObject) -> None:
        started_at_s = asyncio.get_running_loop().time()
        lowest = model.combine_version(model.find_era(stored.version), 1)
        fencing = max(lowest, stored.value["fencing"] + 1)
        updated = await self._objects.update(
            KIND, self._name, self._build_value(fencing), stored.version
        )
        self._record_held(updated, started_at_s)

    async def _read_back(self) -> None:
        started_at_s = asyncio.get_running_loop().time()
        try:
            stored = await self._objects.get(KIND, self._name)
        except objects.PlatformUnavailableError:
            self._record_loss("outcome unknown")
            return
        if stored is None or stored.value["holder"] != self._holder:
            self._record_loss("outcome unknown")
            return
        self._record_held(stored, started_at_s)

    def _record_held(
        self, stored: objects.StoredObject, started_at_s: float
    ) -> None:
        fencing = stored.value["fencing"]
        if model.find_era(fencing) != model.find_era(stored.version):
            self._record_loss("platform restored")
            return
        if self._renewed_at_s is None:
            self._counters.increment("lease.acquired")
            _log.info(
                "lease acquired",
                lease=self._name,
                fencing=fencing,
            )
        self._fencing_token = fencing
        self._version = stored.version
        self._renewed_at_s = started_at_s
        self._observed = None

    def _record_loss(self, reason: str) -> None:
        if self._renewed_at_s is None:
            return
        self._renewed_at_s = None
        self._counters.increment("lease.lost")
        _log.notice("lease lost", lease=self._name, reason=reason)

    def _build_value(
        self, fencing: int, *, released: bool = False
    ) -> dict[str, object]:
        return {
            "holder": self._holder,
            "fencing": fencing,
            "released": released,
        }
