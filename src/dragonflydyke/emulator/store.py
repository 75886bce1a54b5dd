"""In-memory object store with versions and optimistic concurrency."""

from typing import Any

from dragonflydyke.objects import model

_PEER = "emulated platform"


class MemoryStore:
    """Objects of the emulated platform.

    The version is a counter of the whole store that each write increments.
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
