"""Records of objects, as the client of the store keeps them."""

from collections.abc import Iterable
from typing import Any

from dragonflydyke.objects import model as objects
from dragonflydyke.platform import records


def list_records(entries: Iterable[objects.StoredObject]) -> list[Any]:
    """Returns the values of objects that a client of the store has decoded."""
    return [entry.value for entry in entries if entry.value is not None]


def decode_all(kind: str, *entries: objects.StoredObject) -> list[Any]:
    """Returns the records of objects as if they were of a kind."""
    decoder = records.RecordDecoder()
    found = (
        objects.StoredObject(
            kind, entry.name, entry.version, entry.value, entry.status
        )
        for entry in entries
    )
    return list_records(decoder.decode(entry) for entry in found)
