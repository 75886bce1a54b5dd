"""Conversion between the typed document and plain mappings.

Plain data consists of the types of JSON: mappings, lists and scalars.
"""

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


def build(target_type: Any, value: Any) -> Any:
    """Builds a value of a model type from plain data that matches the schema.

    Args:
        target_type: Annotated type: a model class, enumeration, tuple, mapping
            or scalar.
        value: Plain data; absent fields get their defaults.
    """
    origin = typing.get_origin(target_type)
    if origin is tuple:
        item_type = typing.get_args(target_type)[0]
        return tuple(build(item_type, entry) for entry in value)
    if origin is collections.abc.Mapping:
        item_type = typing.get_args(target_type)[1]
        return {key: build(item_type, entry) for key, entry in value.items()}
    if dataclasses.is_dataclass(target_type):
        hints = _field_types(typing.cast(type[Any], target_type))
        return target_type(
            **{key: build(hints[key], entry) for key, entry in value.items()}
        )
    return target_type(value)


@functools.singledispatch
def to_plain(value: Any) -> Any:
    """Returns a value of a model type as plain data."""
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
    """Returns the document as a JSON value, including defaults."""
    return to_plain(document)


def digest(mapping: Mapping[str, Any]) -> str:
    """Returns the SHA-256 of a configuration in hexadecimal.

    The result does not depend on the order of keys.
    """
    text = json.dumps(mapping, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()
