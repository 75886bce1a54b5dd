"""In-memory object store with versions and conditional writes."""

from typing import Any

from dragonflydyke.objects import model

_PEER = "emulated platform"


class MemoryStore:
    """Objects of the emulated platform.

    Every write gets the next version of the whole store.
    """

    __slots__ = ("_deleted", "_objects", "version")

    def __init__(self) -> None:
        self.version = 0
        self._objects: dict[tuple[str, str], model.StoredObject] = {}
        self._deleted: dict[tuple[str, str], int] = {}

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
            ConflictError: If the condition does not hold.
        """
        self._check_version(kind, name, expected_version)
        self.version += 1
        stored = model.StoredObject(kind, name, self.version, value)
        self._objects[kind, name] = stored
        self._deleted.pop((kind, name), None)
        return stored

    def delete(self, kind: str, name: str, expected_version: int) -> None:
        """Deletes an object that has the expected version."""
        if (kind, name) not in self._objects:
            return
        self._check_version(kind, name, expected_version)
        self.version += 1
        del self._objects[kind, name]
        self._deleted[kind, name] = self.version

    def list(
        self, kind: str, since: int = 0, prefix: str = "", limit: int = 0
    ) -> model.ObjectList:
        """Returns the oldest objects of a kind newer than a version.

        Args:
            kind: Kind of the objects.
            since: Version after which the list begins.
            prefix: Beginning of the names.
            limit: Largest number of objects, 0 for all.
        """
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
