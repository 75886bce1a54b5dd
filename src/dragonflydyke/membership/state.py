"""Control objects in force on this node."""

import dataclasses
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from dragonflydyke import errors, logs, metrics, objects
from dragonflydyke.configuration import model
from dragonflydyke.rollouts import model as rollouts_model
from dragonflydyke.sessions import model as sessions_model

CONTROL_KIND = "control"
CONFIG_NAME = "config"
KEYS_NAME = "keys"
ROLLOUT_PREFIX = "rollout."

_logger = logs.get_logger("membership.state")

Parse = Callable[[Mapping[str, Any]], model.Document]


@dataclasses.dataclass(slots=True, frozen=True)
class ControlState:
    """Consistent set of parsed control objects.

    Attributes:
        revision: Revision of the configuration.
        document: Configuration document of this revision.
        key_ring: Keys that sign session tokens.
        roll_outs: Rollout decisions in force by name of the rollout.
        control_version: Store version up to which all control objects are
            adopted.
    """

    revision: int
    document: model.Document
    key_ring: sessions_model.KeyRing
    roll_outs: Mapping[str, rollouts_model.RolloutState]
    control_version: int


class StateStore:
    """Adopts control objects and rejects a lower configuration revision."""

    __slots__ = (
        "_control_version",
        "_counters",
        "_current",
        "_document",
        "_key_ring",
        "_last_unparsable_version",
        "_objects",
        "_parse",
        "_rejected_version",
        "_revision",
        "_roll_outs",
        "_subscribers",
    )

    def __init__(self, counters: metrics.Counters, parse: Parse) -> None:
        """Creates an empty store.

        Args:
            counters: Receives `state.stale_read`, `state.unreadable` and
                `state.adopted`.
            parse: Parses the stored mapping of a document.
        """
        self._counters = counters
        self._parse = parse
        self._objects: dict[str, objects.StoredObject] = {}
        self._control_version = 0
        self._revision = 0
        self._last_unparsable_version = 0
        self._rejected_version = 0
        self._document: model.Document | None = None
        self._key_ring = sessions_model.KeyRing(())
        self._roll_outs: dict[str, rollouts_model.RolloutState] = {}
        self._current: ControlState | None = None
        self._subscribers: list[Callable[[ControlState], None]] = []

    @property
    def current(self) -> ControlState | None:
        """The state in force, or None before a configuration is adopted."""
        return self._current

    @property
    def control_version(self) -> int:
        """Store version up to which all control objects are adopted."""
        return self._control_version

    @property
    def revision(self) -> int:
        """Revision in force, 0 before a configuration is adopted."""
        return self._revision

    @property
    def stored(self) -> Mapping[str, objects.StoredObject]:
        """The adopted control objects by name."""
        return self._objects

    def subscribe(self, callback: Callable[[ControlState], None]) -> None:
        """Registers a function that is called with each new state in force."""
        self._subscribers.append(callback)

    def adopt(
        self,
        stored: Iterable[objects.StoredObject],
        control_version: int,
        deleted: Iterable[str] = (),
    ) -> bool:
        """Adopts control objects in one step.

        Args:
            stored: All control objects that were newer than the control
                version of this store when they were read; or some of them, with
                an unchanged control version.
            control_version: Store version up to which the objects are complete.
            deleted: Names of objects deleted up to that version.

        Returns:
            Whether all objects up to the control version are in force. False
            for a stale read, and for a configuration that another build
            accepted and that this build cannot parse: confirmations must not
            be valid for a node that keeps an older revision.

        Raises:
            InvariantError: If a newer configuration object has a lower
                revision than the one in force.
        """
        stale = control_version < self._control_version
        # A stale read can still contain objects that are newer than the control
        # version of this store.
        new_objects = [
            o
            for o in stored
            if not stale or o.version > self._newest_adopted_version(o)
        ]
        if stale and not new_objects:
            self._counters.increment("state.stale_read")
            return False
        for entry in new_objects:
            self._check_revision(entry)
        changed, complete = self._apply_all(new_objects)
        if not stale:
            changed = self._remove(deleted, control_version) or changed
        if complete and control_version > self._control_version:
            self._control_version = control_version
            changed = True
        if changed:
            self._publish()
        return complete and not stale

    def _apply_all(
        self, stored: Iterable[objects.StoredObject]
    ) -> tuple[bool, bool]:
        """Returns whether any object changed and whether all are in force."""
        complete = True
        changed = False
        for entry in sorted(stored, key=lambda o: o.version):
            adopted = self._objects.get(entry.name)
            if adopted is not None and adopted.version >= entry.version:
                continue
            complete = self._apply(entry) and complete
            changed = True
        return changed, complete

    def _newest_adopted_version(self, entry: objects.StoredObject) -> int:
        adopted = self._objects.get(entry.name)
        return max(self._control_version, adopted.version if adopted else 0)

    def _apply(self, entry: objects.StoredObject) -> bool:
        """Adopts an object.

        Returns:
            Whether the control version may advance to the object's version.
            False if the object is a newer configuration that cannot be parsed.
        """
        try:
            if entry.name == CONFIG_NAME:
                self._apply_config(entry)
            elif entry.name == KEYS_NAME:
                self._key_ring = parse_key_ring(entry.value)
            elif entry.name.startswith(ROLLOUT_PREFIX):
                name = entry.name.removeprefix(ROLLOUT_PREFIX)
                state = rollouts_model.parse_state(name, entry.value)
                self._roll_outs = {**self._roll_outs, name: state}
        # The injected parser can raise any exception, and an invalid control
        # object must not stop the poller.
        except Exception as error:
            self._record_unparsable(entry, error)
            if self._is_newer_revision(entry):
                return False
        self._objects[entry.name] = entry
        return True

    def _record_unparsable(
        self, entry: objects.StoredObject, error: Exception
    ) -> None:
        self._counters.increment("state.unreadable")
        if entry.version <= self._last_unparsable_version:
            return
        self._last_unparsable_version = entry.version
        _logger.error(
            "cannot parse control object; the previous state stays in force",
            object=entry.name,
            version=entry.version,
            error=type(error).__name__,
        )

    def _is_newer_revision(self, entry: objects.StoredObject) -> bool:
        if entry.name != CONFIG_NAME or not isinstance(entry.value, dict):
            return False
        revision = entry.value.get("revision")
        return isinstance(revision, int) and revision > self._revision

    def _check_revision(self, entry: objects.StoredObject) -> None:
        if entry.name != CONFIG_NAME or not isinstance(entry.value, dict):
            return
        adopted = self._objects.get(CONFIG_NAME)
        revision = entry.value.get("revision")
        if not isinstance(revision, int):
            return
        older = adopted is not None and entry.version <= adopted.version
        if older or revision >= self._revision:
            return
        self._counters.increment("invariant.broken")
        if entry.version != self._rejected_version:
            self._rejected_version = entry.version
            _logger.critical(
                "rejected a configuration with a lower revision",
                revision=revision,
                version=entry.version,
                in_force=self._revision,
            )
        errors.check_invariant(
            False,
            f"revision {revision} at store version {entry.version} is lower "
            f"than revision {self._revision} in force",
        )

    def _apply_config(self, entry: objects.StoredObject) -> None:
        revision = entry.value["revision"]
        if not isinstance(revision, int):
            raise ValueError("revision is not an integer")
        adopted = self._objects.get(CONFIG_NAME)
        is_same_change = adopted is not None and (
            adopted.value.get("change_id") == entry.value.get("change_id")
        )
        if revision == self._revision and is_same_change:
            return
        self._document = self._parse(entry.value["document"])
        self._revision = revision
        self._counters.increment("state.adopted")
        _logger.info(
            "revision adopted", revision=revision, version=entry.version
        )

    def _remove(self, deleted: Iterable[str], control_version: int) -> bool:
        removed = False
        for name in deleted:
            # No router deletes the configuration or the keys.
            if name in (CONFIG_NAME, KEYS_NAME) or name not in self._objects:
                continue
            if self._objects[name].version > control_version:
                continue
            del self._objects[name]
            removed = True
            roll_out = name.removeprefix(ROLLOUT_PREFIX)
            self._roll_outs = {
                k: v for k, v in self._roll_outs.items() if k != roll_out
            }
        return removed

    def _publish(self) -> None:
        if self._document is None:
            return
        self._current = ControlState(
            self._revision,
            self._document,
            self._key_ring,
            self._roll_outs,
            self._control_version,
        )
        for callback in self._subscribers:
            callback(self._current)


def parse_key_ring(value: Mapping[str, Any]) -> sessions_model.KeyRing:
    """Parses the stored key ring; raises KeyError if a field is missing."""
    return sessions_model.KeyRing(
        tuple(
            sessions_model.SessionKey(entry["key_id"], entry["secret"])
            for entry in value["keys"]
        )
    )
