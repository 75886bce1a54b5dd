"""In-memory platform that can be unavailable or lose responses."""

from typing import Any

from dragonflydyke import errors, objects
from dragonflydyke.emulator import store
from dragonflydyke.objects import model

_PEER = "memory platform"


class InMemoryObjectStore:
    """In-memory object API with faults, shared by several test nodes.

    Attributes:
        ignores_eras: Whether conditions are compared by revision alone, as for
            a caller that does not know yet that the platform was restored.
        available: Whether calls are executed; if False, all calls raise
            PlatformUnavailableError.
        responses_to_lose: Number of next writes that take effect but raise
            OutcomeUnknownError.
        store: The stored objects.
        vms: The list of VMs.
        writes: Number of writes that took effect.
        reads: Number of successful reads of objects.
    """

    __slots__ = (
        "available",
        "ignores_eras",
        "reads",
        "responses_to_lose",
        "store",
        "vms",
        "writes",
    )

    def __init__(self, vms: objects.VmList | None = None) -> None:
        self.store = store.MemoryStore()
        self.vms = vms or objects.VmList(0, ())
        self.available = True
        self.ignores_eras = False
        self.responses_to_lose = 0
        self.writes = 0
        self.reads = 0

    async def get(self, kind: str, name: str) -> objects.StoredObject | None:
        """Returns an object, or None if it does not exist."""
        self._check_available(errors.Step.READ_PLATFORM)
        self.reads += 1
        return self.store.get(kind, name)

    async def create(
        self, kind: str, name: str, value: Any
    ) -> objects.StoredObject:
        """Creates an object; raises ConflictError if it exists."""
        return self._write(kind, name, value, None)

    async def update(
        self, kind: str, name: str, value: Any, version: int
    ) -> objects.StoredObject:
        """Replaces an object; raises ConflictError if its version differs."""
        return self._write(kind, name, value, version)

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Deletes an object; raises ConflictError if its version differs."""
        self._check_available(errors.Step.WRITE_PLATFORM)
        self.store.delete(kind, name, version)
        self.writes += 1
        self._lose_response()

    async def list(
        self, kind: str, *, since: int = 0, prefix: str = "", limit: int = 0
    ) -> objects.ObjectList:
        """Returns the objects of a kind that are newer than a version."""
        self._check_available(errors.Step.READ_PLATFORM)
        self.reads += 1
        return self.store.list(kind, since, prefix, limit)

    async def list_vms(self) -> objects.VmList:
        """Returns the list of VMs."""
        self._check_available(errors.Step.READ_PLATFORM)
        return self.vms

    def _write(
        self, kind: str, name: str, value: Any, expected: int | None
    ) -> objects.StoredObject:
        self._check_available(errors.Step.WRITE_PLATFORM)
        if self.ignores_eras and expected is not None:
            revision = model.find_revision(expected)
            expected = model.combine_version(self.store.era, revision)
        stored = self.store.put(kind, name, value, expected)
        self.writes += 1
        self._lose_response()
        return stored

    def _check_available(self, step: errors.Step) -> None:
        if not self.available:
            raise objects.PlatformUnavailableError(
                "unavailable", step=step, peer=_PEER
            )

    def _lose_response(self) -> None:
        if self.responses_to_lose > 0:
            self.responses_to_lose -= 1
            raise objects.OutcomeUnknownError("response lost", peer=_PEER)
