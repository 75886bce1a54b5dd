"""Configurations replace routes by new ones, and each route is used."""

import asyncio
import contextlib
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "standins-2"))

import standins  # noqa: E402

MACHINES = 2
# Routes that a change adds; it removes those that the one before added.
ROUTES = 370
CHANGES = 60
PLAY_S = 95.0
WORKERS = 30
WORK_S = 0.02
# Time after which some clients leave.
LEAVE_S = 0.01
APPLY_S = 2.0
POLL_S = 0.05
CHECK_S = 0.1
RESTART_S = 0.5
FATAL_ENDS = 3


async def run_plain(
    runner: standins.Runner,
    request: standins.Message,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Answers a plain request after a short time."""
    await standins.read_body(reader, request)
    await asyncio.sleep(WORK_S)
    body = request.request_id.encode()
    standins.write_response(writer, "200 OK", body, runner.seal(request))


class Platform:
    """Ends a process that exceeds its memory, and starts it again."""

    def __init__(self, scene: standins.Scene, node: standins.Node) -> None:
        self.ends = 0
        self.peak_mb = 0.0
        self._scene = scene
        self._node = node

    async def watch(self) -> None:
        """Watches the process until cancelled."""
        while True:
            await asyncio.sleep(CHECK_S)
            memory_mb = self._node.read_memory_mb()
            self.peak_mb = max(self.peak_mb, memory_mb)
            if memory_mb <= self._node.memory_mb:
                continue
            self.ends += 1
            self._scene.record.add(
                "over its memory",
                node=self._node.name,
                mb=round(memory_mb, 1),
                ends=self.ends,
            )
            await self._node.end()
            await asyncio.sleep(RESTART_S)
            await self._node.start()
            await self._node.wait_ready()


async def await_change(node: standins.Node, target: str) -> None:
    """Waits until a machine has a route, for `configApplyMs` at most."""
    client = standins.Client(node.front, standins.Record.discard())
    until_s = time.monotonic() + APPLY_S
    while time.monotonic() < until_s:
        answer = await client.call("probe", target, method="GET")
        if answer.status == 200:
            break
        if not answer.is_complete:
            client = standins.Client(node.front, standins.Record.discard())
        await asyncio.sleep(POLL_S)
    client.close()


async def use_routes(node: standins.Node, targets: list[str]) -> int:
    """Sends two requests to each route; the client of the second leaves.

    Returns:
        How many of the first ones were served.
    """
    silence = standins.Record.discard()
    await await_change(node, targets[0])
    waiting = iter(targets)

    async def work() -> int:
        served = 0
        client = standins.Client(node.front, silence)
        for target in waiting:
            answer = await client.call("a" + target, target, method="GET")
            served += answer.status == 200
            if not answer.is_complete:
                client = standins.Client(node.front, silence)
            leaving = standins.Client(node.front, silence)
            with contextlib.suppress(OSError):
                await leaving.send("b" + target, target, method="GET")
                await asyncio.sleep(LEAVE_S)
            leaving.close()
        client.close()
        return served

    return sum(await asyncio.gather(*(work() for _ in range(WORKERS))))


def build_version(version: int, prefix: str) -> dict[str, object]:
    """Returns a configuration with the routes of a change."""
    names = [f"{prefix}-{number}" for number in range(ROUTES)]
    routes = [
        standins.build_route(name, "idempotent", "office")
        for name in ["first", *names]
    ]
    return standins.build_config(version, routes)


async def play(scene: standins.Scene) -> bool:
    """Changes the configuration again and again, and uses its routes."""
    runners: list[standins.Runner] = []
    for number in range(3):
        runner = await scene.start_runner(f"i-{number}", "office", run_plain)
        # Tens of thousands of requests; the record has a line for each change.
        runner.record = standins.Record.discard()
        runners.append(runner)
    scene.store.put("config", "main", build_version(1, "v"))
    for _ in range(MACHINES):
        await scene.start_node()
    platforms = [Platform(scene, node) for node in scene.nodes]
    watches = [asyncio.create_task(p.watch()) for p in platforms]
    begun_s = time.monotonic()
    for change in range(2, 2 + CHANGES):
        # Without the trouble, each version has the same routes.
        prefix = f"v{change}" if scene.trouble else "v"
        scene.store.put("config", "main", build_version(change, prefix))
        targets = [f"/{prefix}-{number}/x" for number in range(ROUTES)]
        served = await asyncio.gather(
            *(use_routes(node, targets) for node in scene.nodes)
        )
        scene.record.add(
            "change",
            version=change,
            sent_to_each=2 * ROUTES,
            served=served,
            arrived=sum(len(runner.arrivals) for runner in runners),
            peak_mb=[round(p.peak_mb, 1) for p in platforms],
        )
        is_over = time.monotonic() - begun_s > PLAY_S
        if is_over or all(p.ends >= FATAL_ENDS for p in platforms):
            break
    for watch in watches:
        watch.cancel()
    ends = [platform.ends for platform in platforms]
    peaks = [round(platform.peak_mb, 1) for platform in platforms]
    scene.record.add("ends", ends=ends, peak_mb=peaks, changes=change - 1)
    print(f"{change - 1} changes, ends {ends}, peak {peaks} MB")
    return sum(count >= FATAL_ENDS for count in ends) < MACHINES


standins.run_case(play, pathlib.Path(__file__).parent)
