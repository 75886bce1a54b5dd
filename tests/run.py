"""Runs all tests; passes over the known failures of KNOWN-RED.txt."""

import pathlib
import sys
import unittest

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_KNOWN_RED = _ROOT / "KNOWN-RED.txt"
_ENTRY_PREFIX = "test: "


def _read_known_red() -> frozenset[str]:
    if not _KNOWN_RED.exists():
        return frozenset()
    lines = _KNOWN_RED.read_text().splitlines()
    return frozenset(
        line.removeprefix(_ENTRY_PREFIX).strip()
        for line in lines
        if line.startswith(_ENTRY_PREFIX)
    )


def _list_tests(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    tests: list[unittest.TestCase] = []
    for entry in suite:
        if isinstance(entry, unittest.TestSuite):
            tests.extend(_list_tests(entry))
        else:
            tests.append(entry)
    return tests


def main() -> int:
    """Returns 0 if every test that is not listed as known red passes."""
    known_red = _read_known_red()
    found = unittest.defaultTestLoader.discover(
        str(_ROOT / "tests"), top_level_dir=str(_ROOT)
    )
    tests = _list_tests(found)
    names = sys.argv[1:]
    if names:
        tests = [t for t in tests if any(n in t.id() for n in names)]
    selected = [test for test in tests if test.id() not in known_red]
    for test in tests:
        if test.id() in known_red:
            print(f"known red, not run: {test.id()}")
    runner = unittest.TextTestRunner(verbosity=2 if names else 1)
    result = runner.run(unittest.TestSuite(selected))
    failed = len(result.failures) + len(result.errors)
    skipped = len(tests) - len(selected) + len(result.skipped)
    passed = result.testsRun - failed - len(result.skipped)
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 0 if result.wasSuccessful() and result.testsRun else 1


if __name__ == "__main__":
    sys.exit(main())
