"""Loading of a configuration from YAML files."""

import dataclasses
import pathlib
from collections.abc import Iterable
from typing import Any

from ruamel import yaml
from ruamel.yaml import error as yaml_error
from ruamel.yaml import nodes

from dragonflydyke.configuration import model, parsing, problems

_SUFFIXES = (".yaml", ".yml")
# 700 servers take 0.1 MB, which the YAML library reads in about 1 s.
MAX_FILE_BYTES = 8_000_000


@dataclasses.dataclass(slots=True, frozen=True)
class LoadedFiles:
    """A valid configuration and the position of each of its nodes."""

    document: model.Document
    locations: problems.Locations


def load_files(paths: Iterable[pathlib.Path | str]) -> model.Document:
    """Reads a configuration from files and directories.

    Top-level lists of the same name are concatenated in the order of the
    files; every other top-level field may occur in only one file.

    Args:
        paths: Files, and directories whose YAML files are read in the order of
            their names.

    Raises:
        ConfigurationError: With all problems of all files.
    """
    return load_with_locations(paths).document


def load_with_locations(paths: Iterable[pathlib.Path | str]) -> LoadedFiles:
    """Reads a configuration like `load_files`, and keeps the locations.

    Raises:
        UnreadableError: If the content of a file cannot be read.
        ConfigurationError: With all problems of all files.
    """
    content = _read_files(paths)
    problem_list = problems.ProblemList(content.locations)
    problem_list.items.extend(content.problems)
    if content.incomplete:
        # Further checks would report content of the unread files as missing.
        raise problems.UnreadableError(problem_list.sort())
    return LoadedFiles(
        parsing.check(content.mapping, problem_list), content.locations
    )


def read_text(file: pathlib.Path) -> str:
    """Returns the text of a UTF-8 file.

    Raises:
        OSError: If the file cannot be read.
        ValueError: If it is too large or not UTF-8.
    """
    with file.open("rb") as stream:
        # Also limits files without a size, such as pipes.
        content = stream.read(MAX_FILE_BYTES + 1)
    if len(content) > MAX_FILE_BYTES:
        raise ValueError(f"is larger than {MAX_FILE_BYTES} bytes")
    return content.decode()


def _list_files(paths: Iterable[pathlib.Path | str]) -> list[pathlib.Path]:
    files: list[pathlib.Path] = []
    for path in map(pathlib.Path, paths):
        if path.is_dir():
            files.extend(
                sorted(p for p in path.iterdir() if p.suffix in _SUFFIXES)
            )
        else:
            files.append(path)
    return files


def _read_files(paths: Iterable[pathlib.Path | str]) -> "_MergedFiles":
    merged = _MergedFiles()
    try:
        files = _list_files(paths)
    except OSError as error:
        merged.add_unreadable("", 0, str(error), "make it readable")
        return merged
    for file in files:
        merged.add_file(file)
    if not files:
        merged.add_unreadable(
            "", 0, "no YAML files found", "name a file or directory"
        )
    return merged


class _MergedFiles:
    """Merged content of several files.

    Attributes:
        mapping: The merged top-level mapping.
        locations: File and line of each node.
        problems: Problems found while reading.
        incomplete: Whether the content of a file could not be read.
    """

    __slots__ = ("incomplete", "locations", "mapping", "problems")

    def __init__(self) -> None:
        self.mapping: dict[str, Any] = {}
        self.locations: dict[problems.Path, problems.Location] = {}
        self.problems: list[problems.Problem] = []
        self.incomplete = False

    def add_unreadable(
        self, file: str, line: int, message: str, fix: str
    ) -> None:
        """Adds a problem because of which a file could not be read."""
        self.incomplete = True
        self.add_problem(
            file, line, (), None, message, fix, problems.UNREADABLE_CODE
        )

    def add_problem(
        self,
        file: str,
        line: int,
        path: problems.Path,
        value: Any,
        message: str,
        fix: str,
        code: str = problems.INVALID_CODE,
    ) -> None:
        """Adds a problem with its location."""
        self.problems.append(
            problems.Problem(
                file,
                line,
                problems.format_path(path),
                value,
                message,
                fix,
                code,
            )
        )

    def add_file(self, file: pathlib.Path) -> None:
        """Reads a file and merges it with the previous ones."""
        name = str(file)
        try:
            text = read_text(file)
        except (OSError, ValueError) as error:
            self.add_unreadable(
                name,
                0,
                str(error),
                f"use a UTF-8 file of at most {MAX_FILE_BYTES} bytes",
            )
            return
        try:
            root = yaml.YAML(typ="safe", pure=True).compose(text)
        except RecursionError:
            self.add_unreadable(
                name, 0, "is nested too deeply", "remove levels of nesting"
            )
            return
        except yaml_error.YAMLError as error:
            mark = getattr(error, "problem_mark", None)
            line = mark.line + 1 if mark else 0
            message = getattr(error, "problem", None) or str(error)
            self.add_unreadable(name, line, message, "correct the YAML syntax")
            return
        self.locations.setdefault((), problems.Location(name, 1))
        if root is None:
            return
        if not isinstance(root, nodes.MappingNode):
            self.add_unreadable(
                name, 1, "is not a mapping", "write `field: value`"
            )
            return
        _NodeReader(self, name).read_root(root)


class _NodeReader:
    """Converts the YAML nodes of one file and records their line numbers."""

    __slots__ = ("_constructor", "_file", "_merged", "_visited_nodes")

    def __init__(self, merged: _MergedFiles, file: str) -> None:
        self._merged = merged
        self._file = file
        self._visited_nodes: set[int] = set()
        self._constructor = yaml.YAML(typ="safe", pure=True).constructor

    def read_root(self, root: nodes.MappingNode) -> None:
        """Merges the top-level fields of the file with the previous ones."""
        merged = self._merged.mapping
        for key_node, value_node in root.value:
            key = str(key_node.value)
            present = merged.get(key)
            line = key_node.start_mark.line + 1
            is_list = isinstance(value_node, nodes.SequenceNode)
            if key in merged and not (is_list and isinstance(present, list)):
                self._add_duplicate((key,), line)
                continue
            if key in merged and self._is_same_file(key):
                self._add_duplicate((key,), line)
                continue
            self._merged.locations[(key,)] = self._get_location(key_node)
            if is_list and not self._is_alias(value_node, (key,)):
                merged_list = merged.setdefault(key, [])
                for item in value_node.value:
                    merged_list.append(
                        self._read(item, (key, len(merged_list)))
                    )
            elif not is_list:
                merged[key] = self._read(value_node, (key,))

    def _is_same_file(self, key: str) -> bool:
        return self._merged.locations[(key,)].file == self._file

    def _get_location(self, node: Any) -> problems.Location:
        return problems.Location(self._file, node.start_mark.line + 1)

    def _add_duplicate(self, path: problems.Path, line: int) -> None:
        self._merged.add_problem(
            self._file,
            line,
            path,
            None,
            "is a duplicate key",
            "keep only one of the two",
        )

    def _is_alias(self, node: Any, path: problems.Path) -> bool:
        # Aliases are rejected: nested aliases can expand without limit, and a
        # shared node has a line number at only one of its positions.
        if id(node) not in self._visited_nodes:
            self._visited_nodes.add(id(node))
            return False
        self._merged.add_problem(
            self._file,
            self._merged.locations[path].line,
            path,
            None,
            "is a YAML alias",
            "write the value out",
        )
        return True

    def _read(self, node: Any, path: problems.Path) -> Any:
        self._merged.locations.setdefault(path, self._get_location(node))
        if self._is_alias(node, path):
            return None
        if isinstance(node, nodes.MappingNode):
            return self._read_mapping(node, path)
        if isinstance(node, nodes.SequenceNode):
            return [
                self._read(item, (*path, index))
                for index, item in enumerate(node.value)
            ]
        return self._read_scalar(node, path)

    def _read_mapping(self, node: Any, path: problems.Path) -> dict[str, Any]:
        content: dict[str, Any] = {}
        for key_node, value_node in node.value:
            key = str(key_node.value)
            entry_path = (*path, key)
            if key in content:
                self._add_duplicate(entry_path, key_node.start_mark.line + 1)
                continue
            self._merged.locations[entry_path] = self._get_location(key_node)
            content[key] = self._read(value_node, entry_path)
        return content

    def _read_scalar(self, node: Any, path: problems.Path) -> Any:
        try:
            return self._constructor.construct_object(node)
        except (yaml_error.YAMLError, ValueError) as error:
            self._merged.add_problem(
                self._file,
                node.start_mark.line + 1,
                path,
                node.value,
                str(error),
                "put the value in quotes",
            )
            return None
