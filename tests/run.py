"""Runs all tests; passes over the known failures of KNOWN-RED.txt.

Usage: python -m tests.run [--jobs N] [NAME ...]. Without names, each module
runs in a process of its own, a few at a time; with names, tests whose id
contains one of them run in this process.
"""

import argparse
import asyncio
import os
import pathlib
import re
import sys
import unittest

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_KNOWN_RED = _ROOT / "KNOWN-RED.txt"
_ENTRY_PREFIX = "test: "
_SUMMARY = re.compile(r"^(\d+) passed, (\d+) failed, (\d+) skipped$", re.M)
# Modules that start real processes; they go first because they take longest.
_SLOW_PREFIXES = ("test_live_", "test_proof_")
_DEFAULT_JOBS = 3


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


def _run_here(names: list[str]) -> int:
    """Runs the tests whose id contains one of the names."""
    known_red = _read_known_red()
    found = unittest.defaultTestLoader.discover(
        str(_ROOT / "tests"), top_level_dir=str(_ROOT)
    )
    tests = [t for t in _list_tests(found) if any(n in t.id() for n in names)]
    selected = [test for test in tests if test.id() not in known_red]
    for test in tests:
        if test.id() in known_red:
            print(f"known red, not run: {test.id()}")
    result = unittest.TextTestRunner(verbosity=2).run(
        unittest.TestSuite(selected)
    )
    # A test with several failed subtests counts once.
    failed = len(
        {
            getattr(test, "test_case", test).id()
            for test, _ in result.failures + result.errors
        }
    )
    skipped = len(tests) - len(selected) + len(result.skipped)
    passed = max(0, result.testsRun - failed - len(result.skipped))
    sys.stderr.flush()
    print(f"{passed} passed, {failed} failed, {skipped} skipped", flush=True)
    return 0 if result.wasSuccessful() and tests else 1


async def _run_module(module: str, limit: asyncio.Semaphore) -> str:
    """Returns the output of a module's tests in a process of its own."""
    async with limit:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.run",
            f"tests.{module}.",
            cwd=_ROOT,
            env=os.environ | {"PYTHONUNBUFFERED": "1"},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
    text = output.decode(errors="replace")
    summary = _SUMMARY.search(text)
    if process.returncode != 0:
        print(text, flush=True)
    else:
        seeds = re.findall(r"DRAGONFLYDYKE_SEED=\d+|known red.*", text)
        print(f"{module}: {summary.group(0)}", *sorted(set(seeds)), flush=True)
    if summary is None or (process.returncode != 0 and summary[2] == "0"):
        return "0 passed, 1 failed, 0 skipped"
    return summary.group(0)


async def _run_modules(jobs: int) -> int:
    modules = [path.stem for path in (_ROOT / "tests").glob("test_*.py")]
    modules.sort(key=lambda name: (not name.startswith(_SLOW_PREFIXES), name))
    limit = asyncio.Semaphore(jobs)
    summaries = await asyncio.gather(
        *(_run_module(module, limit) for module in modules)
    )
    counts = [_SUMMARY.fullmatch(summary) for summary in summaries]
    passed, failed, skipped = (
        sum(int(match[index]) for match in counts) for index in (1, 2, 3)
    )
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 0 if passed and not failed else 1


def main() -> int:
    """Returns 0 if every test that is not listed as known red passes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--jobs", type=int, default=_DEFAULT_JOBS)
    parser.add_argument("names", nargs="*")
    arguments = parser.parse_args()
    if arguments.names:
        return _run_here(arguments.names)
    return asyncio.run(_run_modules(arguments.jobs))


if __name__ == "__main__":
    sys.exit(main())
