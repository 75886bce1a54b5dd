"""Proposed and stored revisions of the configuration."""

import dataclasses
from collections.abc import Mapping
from typing import Any

from dragonflydyke import errors, objects
from dragonflydyke.objects import model
from dragonflydyke.protocol import node_pb2

_RETRY_AFTER_S = 5.0


@dataclasses.dataclass(slots=True, frozen=True)
class AppliedChange:
    """A revision of the configuration with its origin.

    Attributes:
        revision: Number of the revision.
        change_id: Unique identifier of the call of `apply` that made it.
        applied_at_ms: Unix time of that call, in milliseconds.
        applied_by: Name of the operator.
        document: Configuration document as a JSON mapping.
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
    """A change that is not written yet.

    Attributes:
        change: The proposed revision.
        base_version: Version of the stored object that the write replaces;
            None if the write creates the object.
    """

    change: AppliedChange
    base_version: int | None

    def announcement(self, acceptor: str) -> node_pb2.ChangeAnnouncement:
        """Returns the announcement to send to the other routers.

        Args:
            acceptor: Name of the VM that writes the change.
        """
        return node_pb2.ChangeAnnouncement(
            acceptor=acceptor,
            change_id=self.change.change_id,
            revision=self.change.revision,
        )


def archive_name(revision: int) -> str:
    """Returns the name of the history object of a revision."""
    return f"config.{revision}"


def is_written(stored: objects.StoredObject | None, proposal: Proposal) -> bool:
    """Returns whether a stored object contains the proposed change."""
    if stored is None:
        return False
    return stored.value["change_id"] == proposal.change.change_id


def is_newer(version: int | None, base_version: int | None) -> bool:
    """Returns whether a version is later than the base version.

    None stands for an object that does not exist.
    """
    return version is not None and version > (base_version or 0)


def is_of_later_era(version: int | None, base_version: int | None) -> bool:
    """Returns whether the platform was restored since the base version."""
    if version is None or base_version is None:
        return False
    return model.is_of_later_era(version, base_version)


def parse_change(stored: objects.StoredObject) -> AppliedChange:
    """Parses a stored revision.

    Raises:
        DragonflydykeError: `platform_object_invalid` if the object was not
            written by a router.
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
            f"{stored.kind}/{stored.name} is not a valid stored revision"
            f" ({error!r}); restore it from the history",
            step=errors.Step.READ_PLATFORM,
            peer=f"{stored.kind}/{stored.name}",
            status=500,
        ) from error


def revision_conflict_error(current_revision: int) -> errors.DragonflydykeError:
    """Returns the error for a change of a revision that is not current."""
    return errors.DragonflydykeError(
        "revision_conflict",
        f"the current revision is {current_revision}; read it, merge your "
        "change and apply it again",
        step=errors.Step.APPLY_CONFIGURATION,
        status=409,
    )


def not_archived_error(revision: int) -> errors.DragonflydykeError:
    """Returns the error for a replaced revision that was not archived."""
    return errors.DragonflydykeError(
        "platform_unavailable",
        f"revision {revision} could not be archived; the change was not "
        "written; apply it again",
        step=errors.Step.APPLY_CONFIGURATION,
        retry_after_s=_RETRY_AFTER_S,
        status=503,
    )
