"""Comparison of two documents and validation of a change."""

import dataclasses
import enum
from collections.abc import Iterator, Mapping
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
        removes: Whether clients lose something: an entry, a key, a permission
            or capacity.
    """

    kind: ChangeKind
    path: str
    old: Any
    new: Any
    removes: bool = False

    def to_mapping(self) -> dict[str, Any]:
        """Returns the JSON value of the change."""
        return {
            "kind": self.kind.value,
            "path": self.path,
            "old": self.old,
            "new": self.new,
            "removes": self.removes,
        }


@dataclasses.dataclass(slots=True, frozen=True)
class FieldMeanings:
    """What a change of a field means, by the name of the field.

    Attributes:
        unordered: Lists of names whose order has no effect.
        ordered: Lists of names whose order has an effect.
        empty_allows_all: Unordered lists that restrict nothing if empty.
        capacities: Numbers and flags that take something away as they fall.
        reserves: Numbers that take something away as they rise.
        zero_is_unlimited: Capacities of which 0 is the highest.
        states: States of a field from the most to the least useful.
    """

    unordered: frozenset[str] = frozenset()
    ordered: frozenset[str] = frozenset()
    empty_allows_all: frozenset[str] = frozenset()
    capacities: frozenset[str] = frozenset()
    reserves: frozenset[str] = frozenset()
    zero_is_unlimited: frozenset[str] = frozenset()
    states: Mapping[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )

    def takes_away(self, field: str, old: Any, new: Any) -> bool:
        """Returns whether a changed value takes something away."""
        if new is None:
            return True
        if old is None:
            return False
        if field in self.unordered | self.ordered:
            if field in self.empty_allows_all and not (old and new):
                return bool(new)
            return not set(old) <= set(new)
        if field in self.states:
            order = self.states[field]
            return order.index(new) > order.index(old)
        if field in self.zero_is_unlimited:
            return new != 0 and (old == 0 or new < old)
        if field in self.reserves:
            return new > old
        return field in self.capacities and new < old


_MEANINGS = FieldMeanings(
    unordered=frozenset(
        {
            "cascades",
            "key_hashes",
            "models",
            "removed_versions",
            "serves",
            "services",
            "versions",
        }
    ),
    ordered=frozenset({"stages"}),
    empty_allows_all=frozenset({"versions"}),
    capacities=frozenset(
        {
            "body_timeout_s",
            "concurrent_requests",
            "deadline_s",
            "hedge_budget_share",
            "max_attempts",
            "max_body_bytes",
            "max_completion_tokens",
            "may_wait_s",
            "queue_share",
            "repeatable",
            "requests_per_s",
            "retry_budget_share",
            "slots",
            "timeout_s",
            "tokens_per_minute",
        }
    ),
    reserves=frozenset({"reserved_share"}),
    states={"state": ("active", "leaving", "retiring", "withdrawn")},
)


def diff(old: model.Document, new: model.Document) -> tuple[Change, ...]:
    """Returns the differences, matching entries of lists by name."""
    return diff_mappings(
        codec.to_mapping(old), codec.to_mapping(new), _MEANINGS
    )


def diff_mappings(
    old: Mapping[str, Any], new: Mapping[str, Any], meanings: FieldMeanings
) -> tuple[Change, ...]:
    """Returns the differences of two JSON values by meaning.

    Entries of lists are matched by name.
    """
    return tuple(_Comparison(meanings).compare(old, new, "", ""))


@dataclasses.dataclass(slots=True, frozen=True)
class _Comparison:
    """Comparison of two JSON values."""

    meanings: FieldMeanings

    def compare(
        self, old: Any, new: Any, path: str, field: str
    ) -> Iterator[Change]:
        """Yields the differences of one field."""
        if old == new and type(old) is type(new):
            return
        if isinstance(old, dict) and isinstance(new, dict):
            separator = "." if path else ""
            yield from self._compare_keys(old, new, f"{path}{separator}{{}}")
        elif _has_named_entries(old) and _has_named_entries(new):
            yield from self._compare_entries(old, new, path)
        elif field not in self.meanings.unordered or set(old) != set(new):
            yield Change(
                ChangeKind.CHANGED,
                path,
                old,
                new,
                self.meanings.takes_away(field, old, new),
            )

    def _compare_entries(
        self, old: list[Any], new: list[Any], path: str
    ) -> Iterator[Change]:
        old_entries = {entry["name"]: entry for entry in old}
        new_entries = {entry["name"]: entry for entry in new}
        yield from self._compare_keys(old_entries, new_entries, f"{path}[{{}}]")
        old_order = [name for name in old_entries if name in new_entries]
        new_order = [name for name in new_entries if name in old_entries]
        if old_order != new_order:
            yield Change(
                ChangeKind.CHANGED, f"{path}(order)", old_order, new_order
            )

    def _compare_keys(
        self, old: dict[str, Any], new: dict[str, Any], template: str
    ) -> Iterator[Change]:
        for key in {**old, **new}:
            path = template.format(key)
            if key not in new:
                yield Change(ChangeKind.REMOVED, path, old[key], None, True)
            elif key not in old:
                yield Change(ChangeKind.ADDED, path, None, new[key])
            else:
                yield from self.compare(old[key], new[key], path, key)


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
