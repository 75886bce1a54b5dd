"""Revisions of the configuration as they are proposed and stored."""

import dataclasses
from collections.abc import Mapping
from typing import Any

from dragonflydyke import errors, objects
from dragonflydyke.protocol import node_pb2

_RETRY_AFTER_S = 5.0


@dataclasses.dataclass(slots=True, frozen=True)
class AppliedChange:
    """A revision of the configuration and where it came from.

    Attributes:
        revision: Number of the revision.
        change_id: Unique per call of `apply`.
        applied_at_ms: Unix time in milliseconds.
        applied_by: Operator.
        document: Mapping of the document.
    """

    revision: int
    change_id: str
    applied_at_ms: int
    applied_by: str
    document: Mapping[str, Any] = dataclasses.field(repr=False)

    def to_mapping(self) -> dict[str, Any]:
        """Returns the JSON value that the platform stores."""
        return dataclasses.asdict(self)


@dataclasses.dataclass(slots=True, frozen=True)
class Proposal:
    """A change before its write; no base version creates the object."""

    change: AppliedChange
    base_version: int | None

    def announcement(self, acceptor: str) -> node_pb2.ChangeAnnouncement:
        """Returns the announcement of the change."""
        return node_pb2.ChangeAnnouncement(
            acceptor=acceptor,
            change_id=self.change.change_id,
            revision=self.change.revision,
        )


def archive_name(revision: int) -> str:
    """Returns the name under which a revision is archived."""
    return f"config.{revision}"


def is_written(
    present: objects.StoredObject | None, proposal: Proposal
) -> bool:
    """Returns whether an object holds the proposed change."""
    if present is None:
        return False
    return present.value["change_id"] == proposal.change.change_id


def is_newer(version: int | None, base_version: int | None) -> bool:
    """Returns whether a version is later than the base."""
    return version is not None and version > (base_version or 0)


def parse_change(stored: objects.StoredObject) -> AppliedChange:
    """Parses a stored revision.

    Raises:
        DragonflydykeError: `platform_object_invalid` if something else than a
            router wrote the object.
    """
    value = stored.value
    try:
        return AppliedChange(
            revision=int(value["revision"]),
            change_id=value["change_id"],
            applied_at_ms=value["applied_at_ms"],
            applied_by=value["applied_by"],
            document=value["document"],
        )
    except (KeyError, TypeError, ValueError) as error:
        raise errors.DragonflydykeError(
            "platform_object_invalid",
            f"{stored.kind}/{stored.name} is not a stored revision"
            f" ({error!r}); restore it from the history",
            step=errors.Step.READ_PLATFORM,
            peer=f"{stored.kind}/{stored.name}",
            status=500,
        ) from error


def revision_conflict_error(present_revision: int) -> errors.DragonflydykeError:
    """Returns the error for a base that is not the present one."""
    return errors.DragonflydykeError(
        "revision_conflict",
        f"the present revision is {present_revision}; read it, merge and "
        "apply again",
        step=errors.Step.APPLY_CONFIGURATION,
        status=409,
    )


def not_archived_error(revision: int) -> errors.DragonflydykeError:
    """Returns the error for a history that cannot be completed."""
    return errors.DragonflydykeError(
        "platform_unavailable",
        f"revision {revision} could not be archived; the change was not "
        "written, apply it again",
        step=errors.Step.APPLY_CONFIGURATION,
        retry_after_s=_RETRY_AFTER_S,
        status=503,
    )
