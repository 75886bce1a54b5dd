"""The configuration document: model, schema, loader and comparison."""

import pathlib
from collections.abc import Iterable

from dragonflydyke.configuration import model
from dragonflydyke.configuration.changes import (
    Change,
    ChangeKind,
    check_transition,
    diff,
)
from dragonflydyke.configuration.findings import CheckReport
from dragonflydyke.configuration.keys import hash_key
from dragonflydyke.configuration.mapping import digest, to_mapping
from dragonflydyke.configuration.parsing import parse, parse_accepted
from dragonflydyke.configuration.problems import (
    ConfigurationError,
    Location,
    Problem,
    Severity,
    UnreadableError,
)

__all__ = [
    "Change",
    "ChangeKind",
    "CheckReport",
    "ConfigurationError",
    "Location",
    "Problem",
    "Severity",
    "UnreadableError",
    "check_files",
    "check_transition",
    "diff",
    "digest",
    "hash_key",
    "load_files",
    "parse",
    "parse_accepted",
    "to_mapping",
]


def load_files(paths: Iterable[pathlib.Path | str]) -> model.Document:
    """Reads a configuration from YAML files and directories.

    Raises:
        ConfigurationError: With all problems of all files.
    """
    # Imported here because routers load no files, and the YAML library would
    # take 1.4 MiB of memory in each router.
    from dragonflydyke.configuration import loader

    return loader.load_files(paths)


def check_files(paths: Iterable[pathlib.Path | str]) -> CheckReport:
    """Checks a configuration in YAML files and directories.

    Raises:
        UnreadableError: If the content of a file cannot be read.
    """
    from dragonflydyke.configuration import findings, loader

    try:
        loaded = loader.load_with_locations(paths)
    except UnreadableError:
        raise
    except ConfigurationError as error:
        return CheckReport(error.problems)
    found = findings.find_warnings(loaded.document, loaded.locations)
    return CheckReport(found, digest(to_mapping(loaded.document)))
