"""Checks of a configuration and its conversion into a typed document."""

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
    """Checks a configuration and returns it as a typed document.

    Args:
        mapping: Plain mappings, lists and scalars.
        locations: File and line of each node, for the problems.

    Raises:
        ConfigurationError: With every problem of the configuration.
    """
    found = problems.ProblemList(locations)
    return check(mapping, found)


def parse_accepted(mapping: Mapping[str, Any]) -> model.Document:
    """Returns a document that was checked before it was stored.

    With 700 backend servers the checks of `parse` take about 0.12 s, which
    would stop the event loop of every router at each change; this takes 0.02 s.

    Raises:
        ConfigurationError: If the mapping does not have the form of a document.
    """
    try:
        return codec.build(model.Document, mapping)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        found = problems.ProblemList()
        found.add(
            (),
            None,
            f"the stored document cannot be read ({error!r})",
            "apply a configuration that this version of the router supports",
        )
        raise problems.ConfigurationError(found.items) from error


def check(
    mapping: Mapping[str, Any], found: problems.ProblemList
) -> model.Document:
    """Checks a mapping and returns it as a typed document.

    Args:
        mapping: Plain mappings, lists and scalars.
        found: Receives the problems; some may be there already.

    Raises:
        ConfigurationError: With every problem, if there is any.
    """
    schema.check_schema(mapping, found)
    references.check_references(mapping, found)
    found.raise_if_any()
    return codec.build(model.Document, mapping)
