"""In-memory object store with versions and optimistic concurrency."""

import dataclasses
from typing import Any

from dragonflydyke.objects import model

_PEER = "emulated platform"


@dataclasses.dataclass(slots=True, frozen=True)
class StoreCopy:
    """State of a store at a point in time."""

    version: int
    objects: dict[tuple[str, str], model.StoredObject]
    deleted: dict[tuple[str, str], int]


class MemoryStore:
    """Objects of the emulated platform.

    Attributes:
        version: Version of the whole store, which each write increments.
    """

    __slots__ = ("_deleted", "_objects", "version")

    def __init__(self) -> None:
        self.version = 0
        self._objects: dict[tuple[str, str], model.StoredObject] = {}
        self._deleted: dict[tuple[str, str], int] = {}

    @property
    def era(self) -> int:
        """Number of restorations from a copy."""
        return model.find_era(self.version)

    def take_copy(self) -> StoreCopy:
        """Returns the current state."""
        return StoreCopy(self.version, dict(self._objects), dict(self._deleted))

    def restore(self, copy: StoreCopy) -> None:
        """Returns to an earlier state; later revisions are issued again."""
        era = self.era + 1
        self.version = _change_era(copy.version, era)
        self._objects = {
            key: dataclasses.replace(
                stored, version=_change_era(stored.version, era)
            )
            for key, stored in copy.objects.items()
        }
        self._deleted = {
            key: _change_era(version, era)
            for key, version in copy.deleted.items()
        }

    def get(self, kind: str, name: str) -> model.StoredObject | None:
        """Returns an object, or None if it does not exist."""
        return self._objects.get((kind, name))

    def put(
        self, kind: str, name: str, value: Any, expected_version: int | None
    ) -> model.StoredObject:
        """Creates or replaces an object.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            value: JSON value.
            expected_version: Version that the stored object must have; None
                if no object may exist.

        Raises:
            ConflictError: If the stored version differs from the expected one.
        """
        self._check_version(kind, name, expected_version)
        self.version += 1
        stored = model.StoredObject(kind, name, self.version, value)
        self._objects[kind, name] = stored
        self._deleted.pop((kind, name), None)
        return stored

    def delete(self, kind: str, name: str, expected_version: int) -> None:
        """Deletes an object; has no effect if the object does not exist.

        Raises:
            ConflictError: If the stored version differs from the expected one.
        """
        if (kind, name) not in self._objects:
            return
        self._check_version(kind, name, expected_version)
        self.version += 1
        del self._objects[kind, name]
        self._deleted[kind, name] = self.version

    def list(
        self, kind: str, since: int = 0, prefix: str = "", limit: int = 0
    ) -> model.ObjectList:
        """Returns the objects of a kind that changed after a version.

        Objects are sorted by version. Names of deleted objects are left out
        of a list that the limit truncates.

        Args:
            kind: Kind of the objects.
            since: Version after which changes are listed.
            prefix: Prefix of the names.
            limit: Maximum number of objects, 0 for all.

        Raises:
            HistoryLostError: If the store does not have the version.
        """
        is_other_era = since and model.find_era(since) != self.era
        if is_other_era or since > self.version:
            raise model.HistoryLostError(kind, since, peer=_PEER)
        objects = [
            stored
            for (stored_kind, name), stored in self._objects.items()
            if stored_kind == kind
            and name.startswith(prefix)
            and stored.version > since
        ]
        deleted = tuple(
            name
            for (stored_kind, name), version in self._deleted.items()
            if stored_kind == kind
            and name.startswith(prefix)
            and version > since
        )
        objects.sort(key=lambda stored: stored.version)
        if limit and len(objects) > limit:
            page = tuple(objects[:limit])
            last = page[-1].version
            return model.ObjectList(last, page, complete=False)
        return model.ObjectList(self.version, tuple(objects), deleted)

    def _check_version(
        self, kind: str, name: str, expected_version: int | None
    ) -> None:
        current = self._objects.get((kind, name))
        version = current.version if current else None
        if version != expected_version:
            raise model.ConflictError(kind, name, current, peer=_PEER)


def _change_era(version: int, era: int) -> int:
    return model.combine_version(era, model.find_revision(version))
