"""The configuration format: model, schema, loader and comparison."""

from dragonflydyke.configuration.changes import (
    Change,
    ChangeKind,
    check_transition,
    diff,
)
from dragonflydyke.configuration.keys import hash_key
from dragonflydyke.configuration.loader import (
    load_files,
    parse,
    parse_accepted,
)
from dragonflydyke.configuration.mapping import digest, to_mapping
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
