"""Decides which control objects a restored platform has lost; no I/O.

The platform may come back from a copy that is some seconds old. What the
routers have adopted since was confirmed to operators and is in force for
callers, so they write it again. Which of two states is later follows from the
states themselves, since the platform issues its versions anew: the revision of
the configuration, phase and step of a rollout, and the keys of the key ring.
"""

import dataclasses
from collections.abc import Mapping
from typing import Any

from dragonflydyke import errors, objects
from dragonflydyke.membership import state
from dragonflydyke.rollouts import model as rollouts_model
from dragonflydyke.sessions import tokens


@dataclasses.dataclass(slots=True, frozen=True)
class LostObject:
    """A control object that has to be written again.

    Attributes:
        name: Name of the object.
        value: Value to write.
        restored_version: Version of the object in the restored platform, None
            if there is none.
    """

    name: str
    value: Any
    restored_version: int | None


def find_lost_objects(
    known: Mapping[str, objects.StoredObject],
    restored: Mapping[str, objects.StoredObject],
) -> list[LostObject]:
    """Returns the objects of which the platform has lost a later state.

    Args:
        known: Control objects that this router has adopted, by name.
        restored: All control objects in the restored platform, by name.
    """
    lost = []
    for name, entry in known.items():
        present = restored.get(name)
        restored_value = present.value if present else None
        value = _merge(name, entry.value, restored_value)
        if value is not None and value != restored_value:
            version = present.version if present else None
            lost.append(LostObject(name, value, version))
    return lost


def _merge(name: str, known: Any, restored: Any) -> Any:
    """Returns the value that the platform should have, None without one."""
    try:
        if name == state.CONFIG_NAME:
            is_later = restored is None or (
                known["revision"] > restored["revision"]
            )
            return known if is_later else restored
        if name == state.KEYS_NAME:
            return _merge_keys(known, restored)
        if name.startswith(state.ROLLOUT_PREFIX):
            return _merge_rollout(name, known, restored)
    except (errors.DragonflydykeError, KeyError, TypeError, ValueError):
        # The state store logs objects that cannot be parsed.
        return restored
    return restored


def _merge_keys(known: Any, restored: Any) -> Any:
    """Returns a ring with the keys of both, oldest first.

    A router that started after the restore may have created a new ring.
    """
    keys = {key["key_id"]: key for key in known["keys"]}
    keys |= {key["key_id"]: key for key in (restored or {}).get("keys", ())}
    ring = sorted(keys.values(), key=lambda key: key.get("created_at_ms", 0))
    return known | {"keys": ring[-tokens.MAX_KEYS :]}


def _merge_rollout(name: str, known: Any, restored: Any) -> Any:
    if restored is None:
        return known
    known_state = rollouts_model.parse_state(name, known)
    restored_state = rollouts_model.parse_state(name, restored)
    return known if restored_state.is_behind(known_state) else restored
