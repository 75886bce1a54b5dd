"""Measurement of the request path's cost per request and per token."""

import asyncio
import dataclasses
import json
import pathlib

from tornado import httpclient, simple_httpclient

from harness.measures import documents, routers, samples

_MAX_CONCURRENT_REQUESTS = 16
_PROMPT = "Which hamper takes the small gouda today?"
_ENGINE_FLAGS = ("--prefill-ms=0.05", "--decode-ms=5", "--slots=64")


@dataclasses.dataclass(slots=True, frozen=True)
class RequestResults:
    """Results for one router and one kind of request.

    Attributes:
        tokens: Completion tokens per request.
        stream: Whether the response is streamed, with one event per token.
        requests: Number of completed requests.
        processor_ms: Processor time of the router per request.
        bytes: Traffic on all sockets of the router per request.
        resident_mib: Resident memory of the router after the requests.
    """

    tokens: int
    stream: bool
    requests: int
    processor_ms: float
    bytes: float
    resident_mib: float


async def measure_requests(
    directory: pathlib.Path, request_kinds: list[tuple[int, bool, int]]
) -> list[RequestResults]:
    """Sends requests through one router.

    Args:
        directory: Existing directory for logs and snapshots.
        request_kinds: For each kind, the completion tokens, whether the
            response is streamed, and the number of requests.

    Returns:
        The results in the order of `request_kinds`.
    """
    spec = routers.RouterGroupSpec(routers=1, servers=14, accounts=10)
    client = simple_httpclient.SimpleAsyncHTTPClient(
        force_instance=True, max_clients=_MAX_CONCURRENT_REQUESTS
    )
    async with routers.RouterGroup(
        spec, directory, _ENGINE_FLAGS
    ) as router_group:
        url = router_group.public_urls[0]
        await client.fetch(
            f"http://{router_group.engine.ready_line}/control",
            method="POST",
            body=json.dumps(
                {
                    "completion_tokens": max(
                        tokens for tokens, *_ in request_kinds
                    )
                }
            ),
        )
        await _wait_until_serving(client, url)
        results = []
        for tokens, stream, count in request_kinds:
            before = (
                await samples.take_snapshots(router_group.router_processes)
            )[0]
            await asyncio.gather(
                *(_send(client, url, tokens, stream) for _ in range(count))
            )
            after = (
                await samples.take_snapshots(router_group.router_processes)
            )[0]
            processor_s = after.processor_s - before.processor_s
            traffic_bytes = after.traffic_bytes - before.traffic_bytes
            results.append(
                RequestResults(
                    tokens=tokens,
                    stream=stream,
                    requests=count,
                    processor_ms=1000 * processor_s / count,
                    bytes=traffic_bytes / count,
                    resident_mib=after.resident_bytes / samples.MIB,
                )
            )
    client.close()
    return results


async def _wait_until_serving(
    client: simple_httpclient.SimpleAsyncHTTPClient, url: str
) -> None:
    async with asyncio.timeout(60):
        while True:
            try:
                await _send(client, url, 8, False)
            except httpclient.HTTPError:
                await asyncio.sleep(0.2)
            else:
                return


async def _send(
    client: simple_httpclient.SimpleAsyncHTTPClient,
    url: str,
    tokens: int,
    stream: bool,
) -> None:
    body = {
        "model": "planner-0@v1",
        "messages": [{"role": "user", "content": _PROMPT}],
        "max_completion_tokens": tokens,
        "stream": stream,
    }
    await client.fetch(
        f"{url}/v1/chat/completions",
        method="POST",
        body=json.dumps(body),
        headers={"Authorization": f"Bearer {documents.ACCOUNT_KEY}"},
        request_timeout=60.0,
    )
