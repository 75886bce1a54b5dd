"""Conversion between the typed document and plain mappings."""

import collections.abc
import dataclasses
import enum
import functools
import hashlib
import json
import typing
from collections.abc import Mapping
from typing import Any

from dragonflydyke.configuration import model


@functools.cache
def _field_types(record_class: type[Any]) -> dict[str, Any]:
    hints = typing.get_type_hints(record_class)
    return {
        field.name: hints[field.name]
        for field in dataclasses.fields(record_class)
        if field.init
    }


def build(wanted: Any, value: Any) -> Any:
    """Builds a value of a model type from plain data that fits the schema.

    Args:
        wanted: Annotated type: a model class, enumeration, tuple or scalar.
        value: Plain data; fields that are absent take their default.
    """
    origin = typing.get_origin(wanted)
    if origin is tuple:
        item = typing.get_args(wanted)[0]
        return tuple(build(item, entry) for entry in value)
    if origin is collections.abc.Mapping:
        item = typing.get_args(wanted)[1]
        return {key: build(item, entry) for key, entry in value.items()}
    if dataclasses.is_dataclass(wanted):
        hints = _field_types(typing.cast(type[Any], wanted))
        return wanted(
            **{key: build(hints[key], entry) for key, entry in value.items()}
        )
    return wanted(value)


@functools.singledispatch
def to_plain(value: Any) -> Any:
    """Returns a model value as plain mappings, lists and scalars."""
    if dataclasses.is_dataclass(value):
        return {
            name: to_plain(getattr(value, name))
            for name in _field_types(type(value))
        }
    return value


@to_plain.register
def _(value: enum.Enum) -> Any:
    return value.value


@to_plain.register
def _(value: tuple) -> Any:
    return [to_plain(entry) for entry in value]


@to_plain.register(collections.abc.Mapping)
def _(value: Mapping[str, Any]) -> Any:
    return {key: to_plain(entry) for key, entry in value.items()}


def to_mapping(document: model.Document) -> dict[str, Any]:
    """Returns the whole document, defaults included, as a JSON value."""
    return to_plain(document)


def digest(mapping: Mapping[str, Any]) -> str:
    """Returns the SHA-256 of a configuration, independent of key order."""
    text = json.dumps(mapping, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()
