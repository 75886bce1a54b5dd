"""JSON schema of the configuration document, and validation against it."""

import difflib
import functools
from collections.abc import Callable, Iterator, Mapping
from typing import TYPE_CHECKING, Any

from dragonflydyke.configuration import problems

if TYPE_CHECKING:
    import jsonschema

_NAME = {"type": "string", "pattern": r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,99}\Z"}
_VERSION_ID = {
    "type": "string",
    "pattern": r"^[A-Za-z0-9][\w.-]*@[A-Za-z0-9][\w.-]*\Z",
}
_KEY_HASH = {"type": "string", "pattern": r"^[0-9a-f]{64}\Z"}
_SHARE = {"type": "number", "minimum": 0, "maximum": 1}
_COUNT = {"type": "integer", "minimum": 1}
_PRICE = {"type": "integer", "minimum": 0}
_NOT_NEGATIVE = {"type": "number", "minimum": 0}
_POSITIVE = {"type": "number", "exclusiveMinimum": 0}
_BOOLEAN = {"type": "boolean"}
_NAMES = {"type": "array", "items": _NAME}


def _object(required: dict[str, Any], **optional: Any) -> dict[str, Any]:
    return {
        "type": "object",
        "properties": {**required, **optional},
        "required": list(required),
        "additionalProperties": False,
    }


def _list(items: dict[str, Any], minimum: int = 0) -> dict[str, Any]:
    return {"type": "array", "items": items, "minItems": minimum}


def _enum(*values: str) -> dict[str, Any]:
    return {"enum": list(values)}


_DATA_CENTRE = _object({"name": _NAME, "region": _NAME}, near=_NAMES)
_VERSION = _object(
    {
        "name": _NAME,
        "state": _enum("active", "retiring", "withdrawn"),
        "price": _object({"prompt": _PRICE, "completion": _PRICE}),
    },
    quality={"type": "object", "additionalProperties": _SHARE},
)
_OPERATION = _object(
    {
        "name": _NAME,
        "method": _enum("GET", "POST", "PUT", "PATCH", "DELETE"),
        "path": {"type": "string", "pattern": r"^/\S*\Z"},
        "repeatable": _BOOLEAN,
    },
    timeout_s=_POSITIVE,
    price=_PRICE,
)
_CLASS = _object(
    {"name": _NAME, "quality_target": _SHARE, "deadline_s": _POSITIVE},
    priority={"type": "integer"},
    may_wait_s=_NOT_NEGATIVE,
    max_completion_tokens=_COUNT,
    long=_BOOLEAN,
)
_ACCOUNT = _object(
    {
        "name": _NAME,
        "key_hashes": _list(_KEY_HASH, 1),
        "models": _NAMES,
        "default_class": _NAME,
    },
    versions=_list(_VERSION_ID),
    services=_NAMES,
    cascades=_NAMES,
    quality_weight=_NOT_NEGATIVE,
    cost_weight=_NOT_NEGATIVE,
    limits=_object(
        {},
        requests_per_s=_POSITIVE,
        concurrent_requests=_COUNT,
        tokens_per_minute=_COUNT,
    ),
)
_STEP = _object(
    {
        "share": {"type": "number", "exclusiveMinimum": 0, "maximum": 1},
        "hold_s": _NOT_NEGATIVE,
    }
)
_ROLL_OUT = _object(
    {
        "name": _NAME,
        "model": _NAME,
        "from_version": _NAME,
        "to_version": _NAME,
        "steps": _list(_STEP, 1),
        "stop": _object(
            {
                "min_samples": _COUNT,
                "min_rating": _SHARE,
                "max_error_share": _SHARE,
            }
        ),
    }
)
_SERVER = _object(
    {
        "name": _NAME,
        "kind": _enum("engine", "service"),
        "url": {"type": "string", "pattern": r"^https?://[^/\s]+[^\s]*\Z"},
        "data_centre": _NAME,
        "serves": _list({"type": "string"}, 1),
    },
    slots=_COUNT,
    checks_fencing=_BOOLEAN,
    state=_enum("active", "leaving"),
    vm={"type": "string"},
)
_POLICY = _object(
    {},
    max_body_bytes=_COUNT,
    body_timeout_s=_POSITIVE,
    default_deadline_s=_POSITIVE,
    max_attempts=_COUNT,
    retry_budget_share=_SHARE,
    hedge_budget_share=_SHARE,
    reserved_share=_SHARE,
    queue_share=_SHARE,
)

SCHEMA: Mapping[str, Any] = {
    "$schema": "https://json-schema.org/draft/2020-12/schema",
    "title": "dragonflydyke configuration",
    **_object(
        {
            "deployment": _NAME,
            "data_centres": _list(_DATA_CENTRE, 1),
            "models": _list(
                _object({"name": _NAME, "versions": _list(_VERSION, 1)})
            ),
            "client_accounts": _list(_ACCOUNT),
            "classes": _list(_CLASS, 1),
        },
        services=_list(
            _object({"name": _NAME, "operations": _list(_OPERATION, 1)})
        ),
        cascades=_list(_object({"name": _NAME, "stages": _list(_NAME, 1)})),
        roll_outs=_list(_ROLL_OUT),
        backend_servers=_list(_SERVER),
        policy=_POLICY,
        removed_versions=_list(_VERSION_ID),
    ),
}

# JSON parsers that use double-precision floats lose digits of larger integers.
_MAX_NUMBER = 2**53


@functools.cache
def _build_validator() -> "jsonschema.Draft202012Validator":
    # Imported here because the library takes 5 MiB of memory, and only a router
    # that applies a change needs it.
    import jsonschema

    return jsonschema.Draft202012Validator(SCHEMA)


_PATTERN_FIXES = {
    _NAME["pattern"]: "use 1 to 100 letters, digits, `_`, `.` or `-`",
    _VERSION_ID["pattern"]: "write it as model@version",
    _KEY_HASH["pattern"]: (
        "use 64 lower-case hexadecimal digits, as printed by"
        " `dragonflydyke hash-key`"
    ),
}


def check_schema(mapping: Any, problem_list: problems.ProblemList) -> None:
    """Adds a problem for each violation of the schema.

    Args:
        mapping: The configuration as plain mappings, lists and scalars.
        problem_list: Receives the problems.
    """
    for path, value in _find_numbers(mapping, ()):
        if not abs(value) <= _MAX_NUMBER:
            problem_list.add(
                path,
                str(value),
                "must be finite and at most 2^53",
                "give a smaller number",
            )
    for error in _build_validator().iter_errors(mapping):
        _add_violation(error, problem_list)


def _find_numbers(
    node: Any, path: problems.Path
) -> Iterator[tuple[problems.Path, float]]:
    if isinstance(node, int | float):
        yield path, node
    elif isinstance(node, dict):
        for key, value in node.items():
            yield from _find_numbers(value, (*path, key))
    elif isinstance(node, list):
        for index, value in enumerate(node):
            yield from _find_numbers(value, (*path, index))


def _add_violation(
    error: "jsonschema.ValidationError", problem_list: problems.ProblemList
) -> None:
    path = tuple(error.absolute_path)
    if error.validator == "required":
        # The library reports each missing field as a separate error, whose
        # message starts with the quoted name of the field.
        field = error.message.split("'")[1]
        problem_list.add((*path, field), None, "is missing", "add this field")
    elif error.validator == "additionalProperties":
        known = list(error.schema["properties"])
        for key in error.instance:
            if key not in known:
                problem_list.add(
                    (*path, str(key)),
                    error.instance[key],
                    "is not a known field",
                    _suggest_field(str(key), known),
                )
    else:
        describe = _DESCRIBERS.get(str(error.validator), _describe_other)
        message, fix = describe(error)
        problem_list.add(path, error.instance, message, fix)


def _suggest_field(key: str, known: list[str]) -> str:
    close = difflib.get_close_matches(key, known, 1)
    if close:
        return f"did you mean {close[0]}?"
    return f"use one of {', '.join(known)}, or remove it"


_LIMIT_PHRASES = {
    "minimum": "at least",
    "exclusiveMinimum": "greater than",
    "maximum": "at most",
    "exclusiveMaximum": "less than",
}


def _describe_type(error: "jsonschema.ValidationError") -> tuple[str, str]:
    expected_type = error.validator_value
    fix = f"give a value of type {expected_type}"
    if expected_type == "string":
        fix = "put the value in quotes"
    return f"must be of type {expected_type}", fix


def _describe_enum(error: "jsonschema.ValidationError") -> tuple[str, str]:
    choices = ", ".join(error.validator_value)
    return "is not an allowed value", f"use one of {choices}"


def _describe_pattern(error: "jsonschema.ValidationError") -> tuple[str, str]:
    pattern = error.validator_value
    fix = _PATTERN_FIXES.get(pattern, f"it must match {pattern}")
    return "has the wrong form", fix


def _describe_limit(error: "jsonschema.ValidationError") -> tuple[str, str]:
    condition = f"{_LIMIT_PHRASES[error.validator]} {error.validator_value}"
    return f"must be {condition}", f"give a number that is {condition}"


def _describe_other(error: "jsonschema.ValidationError") -> tuple[str, str]:
    rule = f"{error.validator} {error.validator_value}"
    return f"violates {rule}", f"give a value that satisfies {rule}"


_DESCRIBERS: dict[
    str, Callable[["jsonschema.ValidationError"], tuple[str, str]]
] = {
    "type": _describe_type,
    "enum": _describe_enum,
    "pattern": _describe_pattern,
    **dict.fromkeys(_LIMIT_PHRASES, _describe_limit),
}
