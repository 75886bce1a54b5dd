"""Comparison of two documents and validation of a change."""

import dataclasses
import enum
from collections.abc import Iterator
from typing import Any

from dragonflydyke.configuration import mapping as codec
from dragonflydyke.configuration import model, problems


class ChangeKind(enum.StrEnum):
    """Kind of difference of a field or entry."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclasses.dataclass(slots=True, frozen=True)
class Change:
    """One difference between two documents.

    Attributes:
        kind: Whether the value was added, removed or changed.
        path: Path with the names of list entries, for example
            `models[small].name`.
        old: Value in the old document, None if it was added.
        new: Value in the new document, None if it was removed.
    """

    kind: ChangeKind
    path: str
    old: Any
    new: Any

    def to_mapping(self) -> dict[str, Any]:
        """Returns the JSON value of the change."""
        return {
            "kind": self.kind.value,
            "path": self.path,
            "old": self.old,
            "new": self.new,
        }


def diff(old: model.Document, new: model.Document) -> tuple[Change, ...]:
    """Returns the differences, matching entries of lists by name."""
    old_mapping = codec.to_mapping(old)
    new_mapping = codec.to_mapping(new)
    return tuple(_compare(old_mapping, new_mapping, ""))


def _compare(old: Any, new: Any, path: str) -> Iterator[Change]:
    if old == new and type(old) is type(new):
        return
    if isinstance(old, dict) and isinstance(new, dict):
        separator = "." if path else ""
        yield from _compare_keys(old, new, f"{path}{separator}{{}}")
    elif _has_named_entries(old) and _has_named_entries(new):
        old_entries = {entry["name"]: entry for entry in old}
        new_entries = {entry["name"]: entry for entry in new}
        yield from _compare_keys(old_entries, new_entries, f"{path}[{{}}]")
        old_order = [name for name in old_entries if name in new_entries]
        new_order = [name for name in new_entries if name in old_entries]
        if old_order != new_order:
            yield Change(
                ChangeKind.CHANGED, f"{path}(order)", old_order, new_order
            )
    else:
        yield Change(ChangeKind.CHANGED, path, old, new)


def _compare_keys(
    old: dict[str, Any], new: dict[str, Any], template: str
) -> Iterator[Change]:
    for key in {**old, **new}:
        path = template.format(key)
        if key not in new:
            yield Change(ChangeKind.REMOVED, path, old[key], None)
        elif key not in old:
            yield Change(ChangeKind.ADDED, path, None, new[key])
        else:
            yield from _compare(old[key], new[key], path)


def _has_named_entries(value: Any) -> bool:
    return isinstance(value, list) and all(
        isinstance(entry, dict) and "name" in entry for entry in value
    )


def check_transition(old: model.Document, new: model.Document) -> None:
    """Checks that a document is a valid successor of another.

    Args:
        old: Document in force.
        new: Proposed document.

    Raises:
        ConfigurationError: With all forbidden changes.
    """
    problem_list = problems.ProblemList()
    for entry in old.models:
        for version in entry.versions:
            _check_version(entry.name, version, new, problem_list)
    for name in old.removed_versions:
        if name not in new.removed_versions:
            problem_list.add(
                ("removed_versions",),
                name,
                "was removed before and must stay in this list",
                "add it to removed_versions",
            )
    for roll_out in old.roll_outs:
        _check_roll_out(roll_out, new, problem_list)
    problem_list.raise_if_any()


def _check_version(
    model_name: str,
    version: model.Version,
    new: model.Document,
    problem_list: problems.ProblemList,
) -> None:
    full_name = model.version_id(model_name, version.name)
    present = new.version(model_name, version.name)
    withdrawn = model.VersionState.WITHDRAWN
    if present is None:
        _check_removal(full_name, version, new, problem_list)
    elif version.state is withdrawn and present.state is not withdrawn:
        problem_list.add(
            ("models",),
            full_name,
            f"is withdrawn and cannot become {present.state.value} again",
            "give the new version another name",
        )


def _check_removal(
    full_name: str,
    version: model.Version,
    new: model.Document,
    problem_list: problems.ProblemList,
) -> None:
    if version.state is model.VersionState.ACTIVE:
        problem_list.add(
            ("models",),
            full_name,
            "is active and cannot be removed",
            "apply it as retiring or withdrawn first",
        )
    elif full_name not in new.removed_versions:
        problem_list.add(
            ("removed_versions",),
            full_name,
            "was removed, so its name must stay reserved",
            "add it to removed_versions",
        )


def _check_roll_out(
    roll_out: model.Rollout,
    new: model.Document,
    problem_list: problems.ProblemList,
) -> None:
    # The state of a rollout is stored under its name, and its completion is
    # final.
    present = next((r for r in new.roll_outs if r.name == roll_out.name), None)
    if present is None:
        return
    for field in ("model", "from_version", "to_version"):
        if getattr(present, field) != getattr(roll_out, field):
            problem_list.add(
                ("roll_outs",),
                roll_out.name,
                f"cannot change its {field}",
                "use another name for the changed rollout",
            )
