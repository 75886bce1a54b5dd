"""Tests that pages name only what exists."""

import pathlib
import re
import unittest

_ROOT = pathlib.Path(__file__).resolve().parent.parent
# `test_module`, `test_module.Class` or `test_module.Class.method`, as in the
# tables of docs/INVARIANTS.md; a method may stand alone.
_TEST_NAME = re.compile(r"`(?:tests/)?(test_\w+)(?:\.py)?((?:\.\w+)*)`")
# A call that is wrapped by the formatter has its text in several literals.
_WRAPPED_TEXT = re.compile(r'"\s*\n\s*f?"')


def _read(name: str) -> str:
    return (_ROOT / name).read_text()


class InvariantsTest(unittest.TestCase):
    """Guards against proofs that were renamed or removed."""

    def test_named_tests_exist(self) -> None:
        modules = {
            path.stem: path.read_text()
            for path in (_ROOT / "tests").glob("test_*.py")
        }
        names = _TEST_NAME.findall(_read("docs/INVARIANTS.md"))
        self.assertTrue(names)
        for name, parts in names:
            with self.subTest(name + parts):
                source = modules.get(name, "\n".join(modules.values()))
                if name not in modules:
                    parts = f".{name}{parts}"
                for part in parts.split(".")[1:]:
                    self.assertRegex(source, rf"(?:class|def) {part}\b")


class OperationsTest(unittest.TestCase):
    """Guards against log lines that on-call engineers look for in vain."""

    def test_messages_of_the_log_exist(self) -> None:
        source = "\n".join(
            path.read_text() for path in (_ROOT / "src").rglob("*.py")
        )
        source = _WRAPPED_TEXT.sub("", source)
        _, table = _read("docs/OPERATIONS.md").split("| message | when", 1)
        table, _ = table.split("\n\n", 1)
        rows = table.splitlines()[2:]
        self.assertTrue(rows)
        for row in rows:
            for message in re.findall("`([^`]+)`", row.split("|")[1]):
                with self.subTest(message):
                    self.assertIn(message, source)
