"""Long randomised run of a deployment with all faults and a mixed load.

Prints the seed at the start and figures as JSON at the end. Exits with 1 if a
request invariant was violated.
"""

import argparse
import asyncio
import collections
import json
import pathlib
import random
import secrets
import sys
import tempfile
from typing import Any

from harness import (
    deployment,
    recording_client,
    soak_checks,
    soak_faults,
    soak_load,
)

_CONFIGURATION = (
    pathlib.Path(__file__).resolve().parent.parent / "examples" / "demo"
)
_DATA_CENTRES = ("cartago-a", "cartago-a", "cartago-b", "cartago-b")
_S_PER_MINUTE = 60.0
_ENGINE_FLAGS = ("--prefill-ms", "0.05", "--decode-ms", "5")


def _build_options(generator: random.Random) -> deployment.DeploymentOptions:
    count = generator.randint(3, 5)
    return deployment.DeploymentOptions(
        _CONFIGURATION,
        routers=tuple(
            (f"router-{n + 1}", _DATA_CENTRES[n % len(_DATA_CENTRES)])
            for n in range(count)
        ),
        engine_flags=_ENGINE_FLAGS,
        router_flags=("--drain-s", "1"),
        backend_proxies=True,
    )


async def _run(
    seed: int, minutes: float, directory: pathlib.Path
) -> dict[str, Any]:
    generator = random.Random(seed)
    options = _build_options(generator)
    running = deployment.Deployment(directory, options)
    client = recording_client.RecordingClient()
    async with running:
        load = soak_load.SoakLoad(running, client, generator)
        faults = soak_faults.FaultInjector(running, generator)
        load.start()
        faults.start()
        await asyncio.sleep(minutes * _S_PER_MINUTE)
        await faults.stop()
        await load.stop()
        violations = await soak_checks.find_violations(running, load, faults)
        figures = {
            "seed": seed,
            "minutes": minutes,
            "routers": len(options.routers),
            "requests": dict(load.counts),
            "refusals": dict(_count_codes(load.list_responses())),
            "faults": dict(faults.counts),
            "bills": len(await running.read_ledger()),
            "counters": await soak_checks.read_counters(running),
            "engines": await soak_checks.read_engine_counts(running),
            "violations": violations,
        }
    client.close()
    return figures


def _count_codes(
    responses: list[recording_client.RecordedResponse],
) -> collections.Counter[str]:
    return collections.Counter(
        str(response.error["code"]) for response in responses if response.error
    )


def main() -> int:
    """Runs the soak and returns its exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=secrets.randbelow(2**31))
    parser.add_argument("--minutes", type=float, default=2.0)
    arguments = parser.parse_args()
    print(f"seed {arguments.seed}", flush=True)
    with tempfile.TemporaryDirectory() as directory:
        figures = asyncio.run(
            _run(arguments.seed, arguments.minutes, pathlib.Path(directory))
        )
    print(json.dumps(figures, indent=2, sort_keys=True))
    return 1 if figures["violations"] else 0


if __name__ == "__main__":
    sys.exit(main())
