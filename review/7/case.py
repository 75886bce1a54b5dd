"""Another writer leaves large entries among those of the runners."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "standins-2"))

import standins  # noqa: E402

MACHINES = 2
ENTRIES = 6
# `valueBytes` of the settings.
MAX_BYTES = 1_048_576
CALLS = 20
CALL_GAP_S = 0.2
WORK_S = 0.09
FATAL_ENDS = 3
PLAY_S = 40.0


async def run_plain(
    runner: standins.Runner,
    request: standins.Message,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Answers a plain request after a short time."""
    await standins.read_body(reader, request)
    runner.begin(request)
    await asyncio.sleep(WORK_S)
    body = request.request_id.encode()
    standins.write_response(writer, "200 OK", body, runner.seal(request))


def build_spec() -> bytes:
    """Returns an entry with fields that the pages don't name."""
    head = b'{"service":"none","state":"retired","models":['
    count = (MAX_BYTES - len(head) - 2) // 3
    spec = head + b",".join([b"{}"] * count) + b"]}"
    assert len(spec) <= MAX_BYTES
    return spec


async def call_all(scene: standins.Scene, name: str) -> int:
    """Sends calls to the machines in turn; returns how many are served."""

    async def call(number: int) -> bool:
        node = scene.nodes[number % len(scene.nodes)]
        client = standins.Client(node.front, scene.record)
        answer = await client.call(
            f"{name}{number}", "/r1/x", deadline_ms=1_500
        )
        client.close()
        return answer.status == 200

    calls = []
    for number in range(CALLS):
        calls.append(asyncio.create_task(call(number)))
        await asyncio.sleep(CALL_GAP_S)
    return sum(await asyncio.gather(*calls))


async def play(scene: standins.Scene) -> bool:
    """Writes the entries, and counts the processes that end."""
    for number in range(3):
        await scene.start_runner(f"i-{number}", "office", run_plain)
    route = standins.build_route("r1", "idempotent", "office", timeoutMs=1_500)
    scene.store.put("config", "main", standins.build_config(7, [route]))
    for _ in range(MACHINES):
        await scene.start_node()
    guards = [standins.MemoryGuard(scene, node) for node in scene.nodes]
    watches = [asyncio.create_task(guard.watch()) for guard in guards]
    before = await call_all(scene, "before")
    if scene.trouble:
        spec = build_spec()
        for number in range(ENTRIES):
            name = f"i-odd-{number}"
            scene.record.add("entry of another writer", bytes=len(spec))
            scene.store.raw_specs["servers", name] = spec
            scene.store.put("servers", name, "written by another writer")
            await asyncio.sleep(0.2)
    after = await call_all(scene, "after")
    until_s = time.monotonic() + PLAY_S
    while time.monotonic() < until_s and scene.trouble:
        if all(guard.ends >= FATAL_ENDS for guard in guards):
            break
        await asyncio.sleep(1.0)
    for watch in watches:
        watch.cancel()
    ends = [guard.ends for guard in guards]
    peaks = [guard.peak_mb for guard in guards]
    scene.record.add(
        "ends", ends=ends, peak_mb=peaks, before=before, after=after, of=CALLS
    )
    print(
        f"ends {ends}, peak {peaks} MB; served {before} of {CALLS} before,"
        f" {after} of {CALLS} after"
    )
    return sum(count >= FATAL_ENDS for count in ends) < MACHINES


standins.run_case(play, pathlib.Path(__file__).parent)
