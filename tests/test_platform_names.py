"""Tests that only the adapter uses the names of the users' platform."""

import pathlib
import re
import unittest

_SOURCE = pathlib.Path(__file__).resolve().parent.parent / "src"
_PACKAGE = _SOURCE / "dragonflydyke"
_ADAPTER = _PACKAGE / "platform"
# Names that only the platform uses, without ordinary words and standard HTTP
# headers.
_NAMES = (
    "Attempt-Id",
    "Deadline-Ms",
    "Token-Count",
    "Prompt-Prefix",
    "Length-Hint",
    "Expect-Runner",
    "Expect-Version",
    "Request-Urgency",
    "Runner-Seal",
    "Runner-Id",
    "Not-Executed",
    "Weight-Versions",
    "Pin-Ms",
    "Kv-Backup",
    "Kv-Fetch",
    "Kv-From",
    "Store-Era",
    "/api/",
    "storeRevision",
    "waitMs",
    "pathPrefix",
    "trafficSplit",
    "streamResume",
    "gapAimMs",
    "targetLatencyMs",
    "maxAttempts",
    "apiKeys",
    "coldRemainingMs",
    "coldPerS",
    "coldOvershoot",
    "evacuationMs",
    "allowedRegions",
    "kvCapacity",
    "memoryMb",
    "Cold-Ms",
    "rampS",
    "nodeName",
    "internalPorts",
    "DRAGONFLYDYKE_CONFIG",
)


class PlatformNamesTest(unittest.TestCase):
    """Guards against platform names outside the adapter package."""

    def test_platform_names_are_only_in_the_adapter(self) -> None:
        pattern = re.compile(
            # Project headers may end with the name of a platform header.
            r"(?<![\w-])(" + "|".join(map(re.escape, _NAMES)) + ")"
        )
        found = []
        for path in sorted(_PACKAGE.rglob("*.py")):
            if _ADAPTER in path.parents:
                continue
            for number, line in enumerate(path.read_text().splitlines(), 1):
                if pattern.search(line):
                    found.append(f"{path.relative_to(_SOURCE)}:{number}")
        self.assertEqual(found, [])
