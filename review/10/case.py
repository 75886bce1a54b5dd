"""All processes are killed while the store has an entry of another writer."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "standins-2"))

import standins  # noqa: E402

RECOVERY_S = 12.0
CALLS = 20
CALL_GAP_S = 0.2
WORK_S = 0.09
# Bytes that are no text in the encoding of the bodies.
UNREADABLE = b'"\xff\xfe\x9c\x80"'


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
    """Kills all processes and starts them again, as the platform does."""
    for number in range(3):
        await scene.start_runner(f"i-{number}", "office", run_plain)
    route = standins.build_route("r1", "idempotent", "office", timeoutMs=1_500)
    scene.store.put("config", "main", standins.build_config(7, [route]))
    for _ in range(2):
        await scene.start_node()
    if scene.trouble:
        scene.record.add("entry of another writer", name="i-odd")
        scene.store.raw_specs["servers", "i-odd"] = UNREADABLE
        scene.store.put("servers", "i-odd", "written by another writer")
    await scene.settle()
    before = await call_all(scene, "before")
    scene.store.put("config", "main", standins.build_config(8, [route]))
    scene.record.add("configuration acknowledged", version=8)
    for node in scene.nodes:
        scene.record.add("killed", node=node.name)
        await node.end()
    for node in scene.nodes:
        await node.start()
        scene.record.add("started", node=node.name)
    await asyncio.sleep(RECOVERY_S)
    after = await call_all(scene, "after")
    ready = [await node.is_ready() for node in scene.nodes]
    scene.record.add(
        "served", before=before, after=after, of=CALLS, ready=ready
    )
    print(
        f"served {before} of {CALLS} before, {after} of {CALLS} after;"
        f" ready {ready}"
    )
    return not (before >= CALLS / 4 and after < CALLS / 4)


standins.run_case(play, pathlib.Path(__file__).parent)
