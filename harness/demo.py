"""Starts a small deployment, sends several kinds of requests, checks them.

Exits with 1 if a response or a bill is missing.
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
class RequestResult:
    """Response, cost and latencies of one request of the demo."""

    name: str
    text: str
    version: str
    cost: int
    bill_id: str
    first_token_ms: float
    total_ms: float


def _build_client(url: str) -> openai.AsyncOpenAI:
    return openai.AsyncOpenAI(
        base_url=f"{url}/v1", api_key=_ACCOUNT_KEY, max_retries=0
    )


async def _send_chat(
    name: str,
    client: openai.AsyncOpenAI,
    text: str,
    model: str,
    headers: dict[str, str],
) -> tuple[RequestResult, str]:
    """Sends a streamed chat completion.

    Returns the result and the session token, empty without a session.
    """
    started_s = time.perf_counter()
    first_s = 0.0
    parts: list[str] = []
    extension: dict[str, Any] = {}
    response = await client.chat.completions.with_raw_response.create(
        model=model,
        messages=[{"role": "user", "content": text}],
        stream=True,
        extra_headers=headers,
    )
    async for chunk in response.parse():
        first_s = first_s or time.perf_counter()
        extension = getattr(chunk, "dragonflydyke", None) or extension
        parts.extend(choice.delta.content or "" for choice in chunk.choices)
    result = RequestResult(
        name=name,
        text="".join(parts),
        version=extension["version"],
        cost=extension["cost"],
        bill_id=extension["bill_id"],
        first_token_ms=(first_s - started_s) * _MS_PER_S,
        total_ms=(time.perf_counter() - started_s) * _MS_PER_S,
    )
    return result, response.headers.get("Dragonflydyke-Session", "")


async def _print_label(
    running: deployment.Deployment, url: str
) -> RequestResult:
    started_s = time.perf_counter()
    response = await running.http.call(
        "POST",
        f"{url}/v1/services/labels/print",
        body={"pallet": "P-1"},
        headers={
            "Authorization": f"Bearer {_ACCOUNT_KEY}",
            "Idempotency-Key": "demo-label-1",
        },
    )
    if response.status != 200:
        raise RuntimeError(f"label: {response.status} {response.body.decode()}")
    bills = [
        bill
        for bill in await running.wait_for_bills(1)
        if bill["model"] == "labels"
    ]
    total_ms = (time.perf_counter() - started_s) * _MS_PER_S
    return RequestResult(
        name="label print, once only",
        text=response.body.decode(),
        version=f"labels {response.headers.get('Dragonflydyke-Version', '')}",
        cost=bills[0]["cost"] if bills else -1,
        bill_id=bills[0]["bill_id"] if bills else "",
        first_token_ms=total_ms,
        total_ms=total_ms,
    )


async def _compare_with_direct_access(
    running: deployment.Deployment, router_client: openai.AsyncOpenAI
) -> None:
    """Prints latencies of requests through a router and to the engine."""
    direct_client = _build_client(running.backend_urls["engine-1"])
    for name, client, model in (
        ("direct", direct_client, "planner-small@v1"),
        ("router", router_client, "planner-small"),
    ):
        first_token_ms = []
        total_ms = []
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
            first_token_ms.append((first_s - started_s) * _MS_PER_S)
            total_ms.append((time.perf_counter() - started_s) * _MS_PER_S)
        print(
            f"  {name}: first token median {sorted(first_token_ms)[10]:.1f} ms,"
            f" total median {sorted(total_ms)[10]:.1f} ms"
        )


async def _check_bills(
    running: deployment.Deployment, results: list[RequestResult]
) -> list[str]:
    expected_ids = {row.bill_id for row in results}
    faults = []
    bills = await running.wait_for_bills(len(results))
    for result in results:
        found = [b for b in bills if b["bill_id"] == result.bill_id]
        print(f"\n{result.name}")
        print(
            f"  answer   {result.text[:70]!r} ({len(result.text)} characters)"
        )
        print(f"  version  {result.version}")
        print(f"  cost     {result.cost} micro-units")
        print(
            f"  time     first token {result.first_token_ms:.1f} ms,"
            f" total {result.total_ms:.1f} ms"
        )
        print(f"  bill     {json.dumps(found[0]) if found else 'MISSING'}")
        if not result.text:
            faults.append(f"{result.name}: no answer")
        if len(found) != 1:
            faults.append(f"{result.name}: {len(found)} bills")
    has_mismatch = len(
        [b for b in bills if b["bill_id"] in expected_ids]
    ) != len(expected_ids)
    return [*faults, "bills do not match requests"] if has_mismatch else faults


async def _send_requests(running: deployment.Deployment) -> list[RequestResult]:
    """Sends all requests; kills the router that started the session."""
    first, second, third = running.routers.values()
    question, _ = await _send_chat(
        "line question",
        _build_client(first.public_url),
        _LINE_QUESTION,
        "planning",
        {"Dragonflydyke-Class": "line_question"},
    )
    headers = {"Dragonflydyke-Class": "catalogue_rebuild"}
    draft, session = await _send_chat(
        "long draft, first turn of a session",
        _build_client(second.public_url),
        _DRAFT,
        "planner-large",
        headers | {"Dragonflydyke-Session": "new"},
    )
    # Any router can continue a session that another router started.
    second.process.kill()
    continued, _ = await _send_chat(
        "session continued at another router after a kill",
        _build_client(third.public_url),
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
        results = await _send_requests(running)
        faults = await _check_bills(running, results)
        if results[1].version != results[2].version:
            faults.append("the version of the session changed")
        _print_memory(running)
        if not short:
            print(
                "\nlatency through a router and directly to the engine, one run"
            )
            first = next(iter(running.routers.values()))
            await _compare_with_direct_access(
                running, _build_client(first.public_url)
            )
    for fault in faults:
        print(f"FAULT {fault}")
    print("\ndemo failed" if faults else "\ndemo passed")
    return 1 if faults else 0


def main() -> int:
    """Runs the demo and returns its exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--short",
        action="store_true",
        help="skip the comparison with direct access",
    )
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        return asyncio.run(_run(arguments.short, pathlib.Path(directory)))


if __name__ == "__main__":
    sys.exit(main())
