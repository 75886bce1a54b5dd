"""Starts a small deployment, sends three kinds of requests and checks them.

Exits with 1 if an answer or a bill is missing.
"""

import argparse
import asyncio
import dataclasses
import json
import pathlib
import sys
import tempfile
import time
from typing import Any

import openai

from harness import deployment

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_CONFIGURATION = _ROOT / "examples" / "demo"
_ACCOUNT_KEY = "demo-key"
_MS_PER_S = 1_000
_BYTES_PER_MEBIBYTE = 1_048_576
_LINE_QUESTION = "Which hamper takes the small gouda today?"
_DRAFT = "Rebuild the packing plan of line four from the catalogue. " * 40


@dataclasses.dataclass(slots=True)
class Row:
    """One request of the demo and what came back."""

    name: str
    answer: str
    version: str
    cost: int
    bill_id: str
    first_ms: float
    total_ms: float


def _client(url: str) -> openai.AsyncOpenAI:
    return openai.AsyncOpenAI(
        base_url=f"{url}/v1", api_key=_ACCOUNT_KEY, max_retries=0
    )


async def _ask(
    name: str,
    client: openai.AsyncOpenAI,
    text: str,
    model: str,
    headers: dict[str, str],
) -> tuple[Row, str]:
    """Sends a streamed chat completion; returns its row and its session."""
    started_s = time.perf_counter()
    first_s = 0.0
    parts: list[str] = []
    extra: dict[str, Any] = {}
    raw = await client.chat.completions.with_raw_response.create(
        model=model,
        messages=[{"role": "user", "content": text}],
        stream=True,
        extra_headers=headers,
    )
    async for chunk in raw.parse():
        first_s = first_s or time.perf_counter()
        extra = getattr(chunk, "dragonflydyke", None) or extra
        parts.extend(choice.delta.content or "" for choice in chunk.choices)
    row = Row(
        name=name,
        answer="".join(parts),
        version=extra["version"],
        cost=extra["cost"],
        bill_id=extra["bill_id"],
        first_ms=(first_s - started_s) * _MS_PER_S,
        total_ms=(time.perf_counter() - started_s) * _MS_PER_S,
    )
    return row, raw.headers.get("Dragonflydyke-Session", "")


async def _print_label(running: deployment.Deployment, url: str) -> Row:
    started_s = time.perf_counter()
    reply = await running.http.call(
        "POST",
        f"{url}/v1/services/labels/print",
        body={"pallet": "P-1"},
        headers={
            "Authorization": f"Bearer {_ACCOUNT_KEY}",
            "Idempotency-Key": "demo-label-1",
        },
    )
    if reply.status != 200:
        raise RuntimeError(f"label: {reply.status} {reply.body.decode()}")
    bills = [
        bill
        for bill in await running.wait_for_bills(1)
        if bill["model"] == "labels"
    ]
    total_ms = (time.perf_counter() - started_s) * _MS_PER_S
    return Row(
        name="label print, once only",
        answer=reply.body.decode(),
        version=f"labels {reply.headers.get('Dragonflydyke-Version', '')}",
        cost=bills[0]["cost"] if bills else -1,
        bill_id=bills[0]["bill_id"] if bills else "",
        first_ms=total_ms,
        total_ms=total_ms,
    )


async def _compare_direct(
    running: deployment.Deployment, through: openai.AsyncOpenAI
) -> None:
    """Prints the time to the first token through a router and directly."""
    direct = _client(running.backend_urls["engine-1"])
    for name, client, model in (
        ("direct", direct, "planner-small@v1"),
        ("router", through, "planner-small"),
    ):
        firsts = []
        totals = []
        for _ in range(20):
            started_s = time.perf_counter()
            stream = await client.chat.completions.create(
                model=model,
                messages=[{"role": "user", "content": _LINE_QUESTION}],
                stream=True,
            )
            first_s = 0.0
            async for _chunk in stream:
                first_s = first_s or time.perf_counter()
            firsts.append((first_s - started_s) * _MS_PER_S)
            totals.append((time.perf_counter() - started_s) * _MS_PER_S)
        print(
            f"  {name}: first token median {sorted(firsts)[10]:.1f} ms,"
            f" total median {sorted(totals)[10]:.1f} ms"
        )


async def _check_bills(
    running: deployment.Deployment, rows: list[Row]
) -> list[str]:
    wanted = {row.bill_id for row in rows}
    faults = []
    bills = await running.wait_for_bills(len(rows))
    for row in rows:
        found = [b for b in bills if b["bill_id"] == row.bill_id]
        print(f"\n{row.name}")
        print(f"  answer   {row.answer[:70]!r} ({len(row.answer)} characters)")
        print(f"  version  {row.version}")
        print(f"  cost     {row.cost} micro-units")
        print(
            f"  time     first token {row.first_ms:.1f} ms,"
            f" total {row.total_ms:.1f} ms"
        )
        print(f"  bill     {json.dumps(found[0]) if found else 'MISSING'}")
        if not row.answer:
            faults.append(f"{row.name}: no answer")
        if len(found) != 1:
            faults.append(f"{row.name}: {len(found)} bills")
    errors = len([b for b in bills if b["bill_id"] in wanted]) != len(wanted)
    return [*faults, "bills do not match requests"] if errors else faults


async def _send_requests(running: deployment.Deployment) -> list[Row]:
    """Sends all requests; kills the router that begins the session."""
    first, second, third = running.routers.values()
    question, _ = await _ask(
        "line question",
        _client(first.public_url),
        _LINE_QUESTION,
        "planning",
        {"Dragonflydyke-Class": "line_question"},
    )
    headers = {"Dragonflydyke-Class": "catalogue_rebuild"}
    draft, session = await _ask(
        "long draft, first turn of a session",
        _client(second.public_url),
        _DRAFT,
        "planner-large",
        headers | {"Dragonflydyke-Session": "new"},
    )
    # Any router can continue a session that another one began.
    second.process.kill()
    continued, _ = await _ask(
        "session continued at another router after a kill",
        _client(third.public_url),
        "Go on.",
        "planner-large",
        headers | {"Dragonflydyke-Session": session},
    )
    label = await _print_label(running, first.public_url)
    return [question, draft, continued, label]


def _print_memory(running: deployment.Deployment) -> None:
    print("\nresident memory")
    for process in running.list_processes():
        mebibytes = process.read_resident_bytes() / _BYTES_PER_MEBIBYTE
        print(f"  {process.name}: {mebibytes:.1f} MiB")


async def _run(short: bool, directory: pathlib.Path) -> int:
    options = deployment.DeploymentOptions(_CONFIGURATION)
    async with deployment.Deployment(directory, options) as running:
        rows = await _send_requests(running)
        faults = await _check_bills(running, rows)
        if rows[1].version != rows[2].version:
            faults.append("the session changed its version")
        _print_memory(running)
        if not short:
            print("\nthrough a router and direct to the engine, one run")
            first = next(iter(running.routers.values()))
            await _compare_direct(running, _client(first.public_url))
    for fault in faults:
        print(f"FAULT {fault}")
    print("\ndemo failed" if faults else "\ndemo passed")
    return 1 if faults else 0


def main() -> int:
    """Runs the demo and returns its exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--short", action="store_true", help="leave out the comparison"
    )
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        return asyncio.run(_run(arguments.short, pathlib.Path(directory)))


if __name__ == "__main__":
    sys.exit(main())
