"""JSON response bodies of the admin API."""

import dataclasses
import enum
import functools
from collections.abc import Mapping
from typing import Any

from dragonflydyke import configuration, error_bodies, errors
from dragonflydyke.admin import services as admin_services


def build_error_body(
    error: errors.DragonflydykeError, request_id: str
) -> dict[str, Any]:
    """Returns the body of an error response.

    Args:
        error: Error that is reported; the problems of a ConfigurationError are
            included.
        request_id: Identifier of the request.
    """
    content = error_bodies.build_content(error, request_id)
    if isinstance(error, configuration.ConfigurationError):
        content["problems"] = [to_json(problem) for problem in error.problems]
    return {"error": content}


@functools.singledispatch
def to_json(value: Any) -> Any:
    """Converts a value returned by the services to a JSON value."""
    if hasattr(value, "to_mapping"):
        return value.to_mapping()
    if dataclasses.is_dataclass(value):
        return {
            field.name: to_json(getattr(value, field.name))
            for field in dataclasses.fields(value)
        }
    return str(value)


@to_json.register(str)
@to_json.register(int)
@to_json.register(float)
@to_json.register(type(None))
def _(value: Any) -> Any:
    return value


@to_json.register
def _(value: enum.Enum) -> Any:
    return value.value


@to_json.register(list)
@to_json.register(tuple)
def _(value: Any) -> Any:
    return [to_json(entry) for entry in value]


@to_json.register(Mapping)
def _(value: Any) -> Any:
    return {str(key): to_json(entry) for key, entry in value.items()}


@to_json.register(admin_services.StoredRevision)
@to_json.register(admin_services.RevisionSummary)
def _(value: Any) -> Any:
    operator, token = admin_services.split_applied_by(value.applied_by)
    content = {
        "revision": value.revision,
        "applied_at_ms": value.applied_at_ms,
        "applied_by": operator,
        "change_id": value.change_id,
        "change_token": token,
    }
    if isinstance(value, admin_services.StoredRevision):
        content["document"] = value.document
    return content
