"""Runs soaks: python -m tests.soak [--seed N] [--seconds S] [--runs N].

Prints the seed and the result of each run; exits with 1 if an invariant was
violated. The logs of the nodes of such a run are kept.
"""

import argparse
import asyncio
import json
import secrets
import sys

from tests.soak import runner


def main() -> int:
    """Runs the soaks in sequence and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=secrets.randbelow(2**31))
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--nodes", type=int, default=3)
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.runs):
        print(f"seed {seed}", flush=True)
        result = asyncio.run(
            runner.run_soak(seed, arguments.seconds, arguments.nodes)
        )
        print(json.dumps(result.describe(), sort_keys=True), flush=True)
        failed += bool(result.violations)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
