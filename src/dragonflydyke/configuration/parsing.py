"""Validation of a configuration and conversion into a typed document."""

from collections.abc import Mapping
from typing import Any

from dragonflydyke.configuration import mapping as codec
from dragonflydyke.configuration import (
    model,
    problems,
    references,
    schema,
)


def parse(
    mapping: Mapping[str, Any], locations: problems.Locations | None = None
) -> model.Document:
    """Validates a configuration and returns it as a typed document.

    Args:
        mapping: The configuration as plain mappings, lists and scalars.
        locations: File and line of each node, for problem reports.

    Raises:
        ConfigurationError: With all problems of the configuration.
    """
    problem_list = problems.ProblemList(locations)
    return check(mapping, problem_list)


def parse_accepted(mapping: Mapping[str, Any]) -> model.Document:
    """Converts a stored configuration, without validating it again.

    Configurations are validated before they are stored. With 700 backend
    servers the validation by `parse` takes about 0.12 s, which would block the
    event loop of every router at each change; this function takes 0.02 s.

    Args:
        mapping: Configuration that was validated before it was stored.

    Raises:
        ConfigurationError: If the mapping cannot be converted to a document.
    """
    try:
        return codec.build(model.Document, mapping)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        problem_list = problems.ProblemList()
        problem_list.add(
            (),
            None,
            f"cannot convert the stored configuration ({error!r})",
            "apply a configuration that this version of the router supports",
        )
        raise problems.ConfigurationError(problem_list.items) from error


def check(
    mapping: Mapping[str, Any], problem_list: problems.ProblemList
) -> model.Document:
    """Validates a configuration and returns it as a typed document.

    Args:
        mapping: The configuration as plain mappings, lists and scalars.
        problem_list: Receives the problems; may already contain some.

    Raises:
        ConfigurationError: With all problems, if there are any.
    """
    schema.check_schema(mapping, problem_list)
    references.check_references(mapping, problem_list)
    problem_list.raise_if_any()
    return codec.build(model.Document, mapping)
