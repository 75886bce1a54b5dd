"""Stores of the objects that nodes share, for tests without a store."""

import asyncio

from dragonflydyke import errors, settings
from dragonflydyke.forwarding import controller, quarantine, registry, rollouts
from dragonflydyke.objects import model as objects


class RejectingRolloutStore:
    """A store that rejects all writes."""

    async def write_progress(
        self, stored: controller.StoredRollout, progress: rollouts.Progress
    ) -> controller.StoredRollout:
        """Rejects the write."""
        raise objects.ConflictError("rollouts", "x", None, peer="store")


def build_stored_rollout(
    order: rollouts.Order,
    progress: rollouts.Progress | None = None,
    version: int = 1,
) -> controller.StoredRollout:
    """Returns a stored rollout; `version` is that of the object."""
    entry = objects.StoredObject("rollouts", order.pool, version, {})
    return controller.StoredRollout(entry, order, progress)


class RecordingRolloutStore:
    """A store that accepts every write and keeps the newest progress.

    Attributes:
        progress: Progress that was written last.
        rejects_writes: Whether writes are rejected.
        write_attempts: Number of writes, including rejected ones.
        other_writes: Writes of other nodes, each of which is the first to be
            executed before one of this node.
    """

    def __init__(self) -> None:
        self.progress = rollouts.Progress("")
        self.rejects_writes = False
        self.write_attempts = 0
        self.other_writes: list[rollouts.Progress] = []
        self._created_s = asyncio.get_running_loop().time()

    @property
    def age_s(self) -> float:
        """Seconds since the store was created."""
        return asyncio.get_running_loop().time() - self._created_s

    async def write_progress(
        self, stored: controller.StoredRollout, progress: rollouts.Progress
    ) -> controller.StoredRollout:
        """Stores the progress unless writes are rejected."""
        self.write_attempts += 1
        if self.rejects_writes:
            raise objects.ConflictError("rollouts", "x", None, peer="store")
        version = stored.entry.version + 1
        if self.other_writes:
            self.progress = self.other_writes.pop(0)
            raise controller.RolloutChangedError(
                build_stored_rollout(stored.order, self.progress, version),
                peer="store",
            )
        self.progress = progress
        return build_stored_rollout(stored.order, progress, version)


class ConditionalRolloutStore:
    """A store with one rollout that checks the condition of each write.

    Attributes:
        is_ordered: Whether the store has the object of the rollout.
        progress: Stored progress.
        version: Version of the store and of the object.
    """

    def __init__(self, order: rollouts.Order) -> None:
        self.is_ordered = True
        self.progress: rollouts.Progress | None = None
        self.version = objects.combine_version(1, 40)
        self._order = order

    @property
    def stage(self) -> rollouts.Stage | None:
        """Stored stage."""
        return self.progress.stage if self.progress else None

    def restore(self, progress: rollouts.Progress | None) -> None:
        """Restores the store from a copy with an earlier progress."""
        era = objects.find_era(self.version) + 1
        self.version = objects.combine_version(era, 30)
        self.progress = progress

    def list_all(self) -> list[controller.StoredRollout]:
        """Returns the stored rollouts."""
        return [self._build_stored()] if self.is_ordered else []

    async def write_progress(
        self, stored: controller.StoredRollout, progress: rollouts.Progress
    ) -> controller.StoredRollout:
        """Stores the progress if the object is unchanged."""
        if not self.is_ordered:
            raise objects.ConflictError("rollouts", "x", None, peer="store")
        if stored.entry.version != self.version:
            raise controller.RolloutChangedError(
                self._build_stored(), peer="store"
            )
        self.version += 1
        self.progress = progress
        return self._build_stored()

    def _build_stored(self) -> controller.StoredRollout:
        return build_stored_rollout(self._order, self.progress, self.version)


class RecordingCrashStore:
    """A store of crash reports.

    Attributes:
        reports: Stored reports by name.
        failures: Number of writes to fail from now on.
        era: Era of the store.
    """

    def __init__(self) -> None:
        self.reports: dict[str, quarantine.CrashReport] = {}
        self.failures = 0
        self.era = 1

    @property
    def version(self) -> int:
        """Version of the store."""
        return objects.combine_version(self.era, len(self.reports))

    async def write_crash(self, report: quarantine.CrashReport) -> int:
        """Stores a report."""
        if self.failures:
            self.failures -= 1
            raise objects.OutcomeUnknownError("lost", peer="store")
        self.reports[report.name] = report
        return self.era

    def restore(self) -> None:
        """Restores the store from a copy without reports."""
        self.reports.clear()
        self.era += 1

    async def remove_crash(self, report: quarantine.CrashReport) -> None:
        """Removes a report."""
        self.reports.pop(report.name, None)


def build_crash_report(
    *parts: str,
    server: str = "a",
    request_id: str = "r1",
    fingerprint: str = "",
) -> quarantine.CrashReport:
    """Returns a report on a crash of an engine of pool `engines`."""
    return quarantine.CrashReport(
        "engines", request_id, server, 1, build_content(*parts, fingerprint)
    )


def build_content(*names: str) -> quarantine.RequestContent:
    """Returns the content of a request; the last name is its fingerprint."""
    *parts, fingerprint = names
    return quarantine.RequestContent(fingerprint, frozenset(parts))


class ListedNodes:
    """A store of the entries of the nodes.

    Attributes:
        era: Era of the store.
        versions: Versions of the entries by name.
        addresses: Addresses in the entries by name.
        is_rejecting: Whether all calls fail.
    """

    def __init__(self) -> None:
        self.era = 1
        self.versions: dict[str, int] = {}
        self.addresses: dict[str, settings.Address] = {}
        self.is_rejecting = False

    def restore(self) -> None:
        """Restores the store from a copy without entries."""
        self.era += 1
        self.versions.clear()

    async def write_node(
        self, name: str, heartbeat: int, address: settings.Address
    ) -> None:
        """Stores an entry."""
        self._check()
        self.versions[name] = heartbeat
        self.addresses[name] = address

    async def list_nodes(self) -> tuple[registry.ListedNode, ...]:
        """Returns all entries."""
        self._check()
        return tuple(
            registry.ListedNode(name, version, self.addresses[name])
            for name, version in self.versions.items()
        )

    async def remove_node(self, name: str) -> None:
        """Removes an entry."""
        self.versions.pop(name, None)

    def _check(self) -> None:
        if self.is_rejecting:
            raise objects.PlatformUnavailableError(
                "rejected", step=errors.Step.WRITE_PLATFORM, peer="store"
            )
