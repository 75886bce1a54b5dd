"""Checks a file with the platform's configuration before it is stored.

The router's decoder decides whether the configuration is accepted. Only if it
rejects a value, the value is decoded again in containers that record which
field was read last.
"""

import dataclasses
import json
import pathlib
import reprlib
from collections.abc import Iterator
from typing import Any

from dragonflydyke import metrics
from dragonflydyke.configuration import changes, findings, loader, problems
from dragonflydyke.forwarding import model, node
from dragonflydyke.objects import model as objects
from dragonflydyke.platform import (
    policy_changes,
    policy_findings,
    records,
    store,
)

_MAX_SHOWN_CHARACTERS = 200
# Values below this field are secret.
_SECRET_FIELD = "apiKeys"


def check_file(
    file: str, settings: node.NodeSettings | None = None
) -> findings.CheckReport:
    """Checks a configuration as it is stored, or the value of the object.

    Args:
        file: Path of a JSON file.
        settings: Settings of a node of the deployment, None if unknown.

    Raises:
        UnreadableError: If the file does not contain a JSON value.
    """
    return check_entry(read_file(file), file, settings)[0]


def read_file(file: str) -> objects.StoredObject:
    """Returns the object in a JSON file.

    Raises:
        UnreadableError: If the file does not contain a JSON value.
    """
    try:
        value = json.loads(loader.read_text(pathlib.Path(file)))
    except RecursionError:
        raise _build_unreadable(file, 0, "is nested too deeply") from None
    except (OSError, ValueError) as error:
        line = getattr(error, "lineno", 0)
        raise _build_unreadable(file, line, str(error)) from error
    name = records.POLICY_OBJECT_NAME
    if isinstance(value, dict) and "metadata" in value and "spec" in value:
        metadata = value["metadata"]
        name = metadata.get("name") if isinstance(metadata, dict) else None
        if name != records.POLICY_OBJECT_NAME:
            raise _build_unreadable(
                file,
                0,
                f"is the object {reprlib.repr(name)} instead of"
                f" {records.POLICY_OBJECT_NAME!r}",
            )
        value = value["spec"]
    return objects.StoredObject(records.KINDS.policies, name, 0, value)


def check_entry(
    entry: objects.StoredObject,
    file: str = "",
    settings: node.NodeSettings | None = None,
) -> tuple[findings.CheckReport, model.ForwardingPolicy | None]:
    """Returns the findings in an object, and the decoded configuration.

    Paths in the findings are those in the value of the object.
    """
    found = findings.WarningList({(): problems.Location(file, 0)})
    try:
        policy = records.decode_policy(entry)
    except records.DECODING_ERRORS as error:
        _add_error(found, entry, error)
        return findings.CheckReport(found.sort()), None
    policy_findings.find_warnings(entry.value, policy, settings, found)
    return findings.CheckReport(found.sort()), policy


@dataclasses.dataclass(slots=True, frozen=True)
class Comparison:
    """Differences of a configuration from an earlier one.

    Attributes:
        version: Version that the earlier configuration states, 0 if there is
            none.
        changes: The differences.
    """

    version: int
    changes: tuple[changes.Change, ...]


def compare_entries(
    old: objects.StoredObject | None,
    new: objects.StoredObject,
    *,
    old_file: str,
    new_file: str,
) -> Comparison:
    """Compares two configurations by meaning.

    Raises:
        ConfigurationError: If one of them contains values that the router
            rejects or that have the wrong type.
    """
    new_policy = _decode_usable(new, new_file)
    if old is None:
        version = 0
        description: dict[str, Any] = {}
    else:
        old_policy = _decode_usable(old, old_file)
        version = old_policy.version
        description = policy_changes.describe(old_policy)
    return Comparison(
        version,
        policy_changes.compare(
            description, policy_changes.describe(new_policy)
        ),
    )


async def read_stored(
    settings: node.NodeSettings,
) -> objects.StoredObject | None:
    """Returns the configuration in force, or None if there is none.

    Raises:
        DragonflydykeError: If the store does not respond.
    """
    # The check explains what is wrong with a value.
    client = store.PlatformStore(
        settings.store_url, metrics.Counters(), decode=lambda entry: entry
    )
    listed = await client.list_all(
        records.KINDS.policies,
        consistency=objects.ReadConsistency.LINEARIZABLE,
    )
    for entry in listed.objects:
        if entry.name == records.POLICY_OBJECT_NAME:
            return entry
    return None


def _decode_usable(
    entry: objects.StoredObject, file: str
) -> model.ForwardingPolicy:
    report, policy = check_entry(entry, file)
    unusable = [
        found
        for found in report.findings
        if found.severity is problems.Severity.ERROR
        or found.code == policy_findings.WRONG_TYPE
    ]
    if policy is None or unusable:
        raise problems.ConfigurationError(unusable)
    return policy


def _build_unreadable(
    file: str, line: int, message: str
) -> problems.UnreadableError:
    return problems.UnreadableError(
        [
            problems.Problem(
                file,
                line,
                problems.format_path(()),
                None,
                message,
                "use a UTF-8 file with one JSON value of at most"
                f" {loader.MAX_FILE_BYTES} bytes",
                problems.UNREADABLE_CODE,
            )
        ]
    )


def _add_error(
    found: findings.WarningList, entry: objects.StoredObject, error: Exception
) -> None:
    trace = _Trace()
    traced = objects.StoredObject(
        entry.kind, entry.name, entry.version, trace.wrap(entry.value, ())
    )
    try:
        records.decode_policy(traced)
    except records.DECODING_ERRORS:
        path = trace.path
    else:
        path = ()
    try:
        value = _find_value(entry.value, path)
    except LookupError:
        found.add(path, None, "is missing", "add this field")
        return
    found.add(
        path,
        None if _SECRET_FIELD in path else _shorten(value),
        f"cannot be decoded ({_shorten(str(error))})",
        "give a value of the documented type and range",
    )


def _find_value(value: Any, path: problems.Path) -> Any:
    for part in path:
        value = value[part]
    return value


def _shorten(value: Any) -> Any:
    if isinstance(value, dict | list):
        return reprlib.repr(value)
    if isinstance(value, str) and len(value) > _MAX_SHOWN_CHARACTERS:
        return value[:_MAX_SHOWN_CHARACTERS] + "..."
    return value


class _Trace:
    """Records the path of the field that was read last.

    Attributes:
        path: Path of that field.
    """

    __slots__ = ("path",)

    def __init__(self) -> None:
        self.path: problems.Path = ()

    def wrap(self, value: Any, path: problems.Path) -> Any:
        """Returns a value whose fields record their path as they are read."""
        self.path = path
        if isinstance(value, dict):
            return _TracedDict(value, self, path)
        if isinstance(value, list):
            return _TracedList(value, self, path)
        return value


class _TracedDict(dict[str, Any]):
    """JSON object that records which of its fields is read."""

    __slots__ = ("_path", "_trace")

    def __init__(
        self, fields: dict[str, Any], trace: _Trace, path: problems.Path
    ) -> None:
        super().__init__(fields)
        self._trace = trace
        self._path = path

    def __getitem__(self, key: str) -> Any:
        self._trace.path = (*self._path, key)
        return self._trace.wrap(super().__getitem__(key), (*self._path, key))

    def get(self, key: str, default: Any = None) -> Any:
        """Returns a field or the default."""
        if key not in self:
            return default
        return self[key]

    def __hash__(self) -> int:  # type: ignore[override]
        # A name or key of this type fails only when it is looked up.
        self._trace.path = self._path
        raise TypeError("an object is not a name")


class _TracedList(list[Any]):
    """JSON array that records which of its items is read."""

    __slots__ = ("_path", "_trace")

    def __init__(
        self, items: list[Any], trace: _Trace, path: problems.Path
    ) -> None:
        super().__init__(items)
        self._trace = trace
        self._path = path

    def __iter__(self) -> Iterator[Any]:
        for index, item in enumerate(super().__iter__()):
            yield self._trace.wrap(item, (*self._path, index))

    def __hash__(self) -> int:  # type: ignore[override]
        self._trace.path = self._path
        raise TypeError("a list is not a name")
