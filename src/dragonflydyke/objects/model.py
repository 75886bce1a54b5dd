"""Data types of the platform's object API and the errors of its client."""

import dataclasses
import enum
from typing import Any

from dragonflydyke import errors

# Bits of a version that hold the revision.
_REVISION_BITS = 40


def combine_version(era: int, revision: int) -> int:
    """Returns the version of a revision that a store issued in an era.

    A store that is restored from a copy issues revisions again that it had
    issued before, and enters a new era. Its revisions alone therefore do not
    tell which of two states is newer; versions do, as the era is in their upper
    bits. A store that has no eras is in era 0.
    """
    return era << _REVISION_BITS | revision


def find_era(version: int) -> int:
    """Returns the era in which a version was issued."""
    return version >> _REVISION_BITS


def find_revision(version: int) -> int:
    """Returns the revision by which the store knows a version."""
    return version & (1 << _REVISION_BITS) - 1


def is_of_later_era(version: int, earlier: int) -> bool:
    """Returns whether the store was restored between two versions."""
    return find_era(version) > find_era(earlier)


class ReadConsistency(enum.Enum):
    """Whether a replica of the store that lags behind may serve a read."""

    LINEARIZABLE = "linearizable"
    STALE = "stale"


@dataclasses.dataclass(slots=True, frozen=True)
class StoredObject:
    """Object as the platform stores it.

    Attributes:
        kind: Group of objects that are listed together.
        name: Name, unique within the kind.
        version: Version of the store at the last write of the object, as
            `combine_version` returns it. Each write to the store, and each
            restoration from a copy, increases it.
        value: Any JSON value, at most 1 MB as text, or what a client of the
            store keeps of it.
        status: Reported status of the object, if the store keeps one
            separately from the value.
    """

    kind: str
    name: str
    version: int
    value: Any
    status: Any = None


@dataclasses.dataclass(slots=True, frozen=True)
class ObjectList:
    """Objects of one kind that are newer than a given version.

    Attributes:
        version: Version of the store at the time of the read. In an incomplete
            list, the version from which to request the next list.
        objects: Objects written after the given version, oldest first.
        deleted: Names of objects deleted after the given version.
        complete: False if the list was truncated at its limit.
    """

    version: int
    objects: tuple[StoredObject, ...]
    deleted: tuple[str, ...] = ()
    complete: bool = True


@dataclasses.dataclass(slots=True, frozen=True)
class ListedVm:
    """VM in the platform's VM list.

    Attributes:
        name: Name of the VM.
        data_centre: Data centre in which it runs.
        role: `entry` or `backend`.
        inner_address: `host:port` of the router's inner address, empty for
            backend server VMs.
        state: `live` or `leaving`.
    """

    name: str
    data_centre: str
    role: str
    inner_address: str
    state: str


@dataclasses.dataclass(slots=True, frozen=True)
class VmList:
    """The platform's list of VMs, which lags behind the actual state.

    Attributes:
        as_of_ms: Unix time in milliseconds at which the list was correct.
        vms: All listed VMs.
    """

    as_of_ms: int
    vms: tuple[ListedVm, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class ObjectChanges:
    """Changes of the objects of a kind after a version of the store.

    Attributes:
        version: Version of the store up to which the changes are complete.
        written: Objects that were created or replaced, oldest first.
        removed: Names of objects that were removed and not created again.
    """

    version: int
    written: tuple[StoredObject, ...] = ()
    removed: tuple[str, ...] = ()


class HistoryLostError(errors.DragonflydykeError):
    """The store does not have the changes after the requested version.

    It has dropped them, or it was restored from a copy, or a replica responded
    that has not been restored yet.
    """

    def __init__(self, kind: str, version: int, *, peer: str) -> None:
        super().__init__(
            "platform_history_lost",
            f"changes of {kind} after revision {find_revision(version)} of era "
            f"{find_era(version)} are not stored; list the kind again",
            step=errors.Step.READ_PLATFORM,
            peer=peer,
            status=410,
        )


class PlatformUnavailableError(errors.DragonflydykeError):
    """The platform did not execute a call; a write had no effect."""

    def __init__(self, message: str, *, step: errors.Step, peer: str) -> None:
        super().__init__(
            "platform_unavailable",
            message,
            step=step,
            peer=peer,
            retry_after_s=5.0,
            status=503,
        )


class OutcomeUnknownError(errors.DragonflydykeError):
    """The response to a write was lost; the write may have taken effect."""

    def __init__(self, message: str, *, peer: str) -> None:
        super().__init__(
            "platform_outcome_unknown",
            message,
            step=errors.Step.WRITE_PLATFORM,
            peer=peer,
            execution=errors.Execution.UNKNOWN,
            retry_after_s=5.0,
            status=503,
        )


class ConflictError(errors.DragonflydykeError):
    """The condition of a write does not hold.

    Attributes:
        current: The stored object, or None if it does not exist.
    """

    __slots__ = ("current",)

    def __init__(
        self, kind: str, name: str, current: StoredObject | None, *, peer: str
    ) -> None:
        super().__init__(
            "platform_conflict",
            f"{kind}/{name} was changed by another writer; read it again",
            step=errors.Step.WRITE_PLATFORM,
            peer=peer,
            status=409,
        )
        self.current = current


class ObjectTooLargeError(errors.DragonflydykeError):
    """The value of a write is larger than the platform accepts."""

    def __init__(self, kind: str, name: str, *, peer: str) -> None:
        super().__init__(
            "platform_object_too_large",
            f"{kind}/{name} is larger than the platform's limit; split it into "
            "several objects",
            step=errors.Step.WRITE_PLATFORM,
            peer=peer,
            status=413,
        )
