"""Runs all tests except the known failures listed in KNOWN-RED.txt.

Usage: python -m tests.run [--jobs N] [NAME ...]. Without names, each test
module runs in a separate process, with at most N processes at the same time.
With names, the tests whose id contains one of the names run in this process.
"""

import argparse
import asyncio
import os
import pathlib
import re
import sys
import unittest

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_KNOWN_FAILURES_FILE = _ROOT / "KNOWN-RED.txt"
_ENTRY_PREFIX = "test: "
_SUMMARY_PATTERN = re.compile(
    r"^(\d+) passed, (\d+) failed, (\d+) skipped$", re.M
)
# Modules that start router processes. They are started first because they take
# the longest.
_SLOW_PREFIXES = ("test_live_", "test_proof_")
_DEFAULT_JOBS = 3


def _read_known_failures() -> frozenset[str]:
    if not _KNOWN_FAILURES_FILE.exists():
        return frozenset()
    lines = _KNOWN_FAILURES_FILE.read_text().splitlines()
    return frozenset(
        line.removeprefix(_ENTRY_PREFIX).strip()
        for line in lines
        if line.startswith(_ENTRY_PREFIX)
    )


def _flatten_suite(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    tests: list[unittest.TestCase] = []
    for entry in suite:
        if isinstance(entry, unittest.TestSuite):
            tests.extend(_flatten_suite(entry))
        else:
            tests.append(entry)
    return tests


def _run_in_this_process(names: list[str]) -> int:
    """Runs the tests whose id contains one of the names.

    Returns:
        0 if at least one test was found and none failed, else 1.
    """
    known_failures = _read_known_failures()
    suite = unittest.defaultTestLoader.discover(
        str(_ROOT / "tests"), top_level_dir=str(_ROOT)
    )
    tests = [
        t for t in _flatten_suite(suite) if any(n in t.id() for n in names)
    ]
    tests_to_run = [test for test in tests if test.id() not in known_failures]
    for test in tests:
        if test.id() in known_failures:
            print(f"known red, not run: {test.id()}")
    result = unittest.TextTestRunner(verbosity=2).run(
        unittest.TestSuite(tests_to_run)
    )
    # Counts a test with several failed subtests as one failure.
    failed = len(
        {
            getattr(test, "test_case", test).id()
            for test, _ in result.failures + result.errors
        }
    )
    skipped = len(tests) - len(tests_to_run) + len(result.skipped)
    passed = max(0, result.testsRun - failed - len(result.skipped))
    sys.stderr.flush()
    print(f"{passed} passed, {failed} failed, {skipped} skipped", flush=True)
    return 0 if result.wasSuccessful() and tests else 1


async def _run_module(module: str, process_limit: asyncio.Semaphore) -> str:
    """Runs the tests of a module in a separate process.

    Returns:
        The summary line of the module; if it is missing, or the process fails
        without a failed test, a summary with one failure.
    """
    async with process_limit:
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
    summary = _SUMMARY_PATTERN.search(text)
    if process.returncode != 0:
        print(text, flush=True)
    else:
        details = re.findall(r"DRAGONFLYDYKE_SEED=\d+|known red.*", text)
        print(
            f"{module}: {summary.group(0)}", *sorted(set(details)), flush=True
        )
    if summary is None or (process.returncode != 0 and summary[2] == "0"):
        return "0 passed, 1 failed, 0 skipped"
    return summary.group(0)


async def _run_modules(jobs: int) -> int:
    modules = [path.stem for path in (_ROOT / "tests").glob("test_*.py")]
    modules.sort(key=lambda name: (not name.startswith(_SLOW_PREFIXES), name))
    process_limit = asyncio.Semaphore(jobs)
    summaries = await asyncio.gather(
        *(_run_module(module, process_limit) for module in modules)
    )
    counts = [_SUMMARY_PATTERN.fullmatch(summary) for summary in summaries]
    passed, failed, skipped = (
        sum(int(match[index]) for match in counts) for index in (1, 2, 3)
    )
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 0 if passed and not failed else 1


def main() -> int:
    """Returns 0 if all tests except the known failures pass."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--jobs", type=int, default=_DEFAULT_JOBS)
    parser.add_argument("names", nargs="*")
    arguments = parser.parse_args()
    if arguments.names:
        return _run_in_this_process(arguments.names)
    return asyncio.run(_run_modules(arguments.jobs))


if __name__ == "__main__":
    sys.exit(main())
