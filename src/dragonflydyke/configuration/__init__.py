"""The configuration format: model, schema, loader and comparison."""

import pathlib
from collections.abc import Iterable

from dragonflydyke.configuration import model
from dragonflydyke.configuration.changes import (
    Change,
    ChangeKind,
    check_transition,
    diff,
)
from dragonflydyke.configuration.keys import hash_key
from dragonflydyke.configuration.mapping import digest, to_mapping
from dragonflydyke.configuration.parsing import parse, parse_accepted
from dragonflydyke.configuration.problems import (
    ConfigurationError,
    Location,
    Problem,
)

__all__ = [
    "Change",
    "ChangeKind",
    "ConfigurationError",
    "Location",
    "Problem",
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
    """Reads a configuration from files and directories.

    Raises:
        ConfigurationError: With every problem of all files.
    """
    # Routers read no files; the YAML library would take 1.4 MiB of each.
    from dragonflydyke.configuration import loader

    return loader.load_files(paths)
