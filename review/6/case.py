"""A planned stop while a sound runner is silent for 1.3 s."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "standins-2"))

import standins  # noqa: E402

STREAMS = 30
EVENTS = 30
EVENT_GAP_S = 0.1
SILENCE_S = 1.3
GAP_AIM_MS = 500
# Streams that end later than this after the SIGTERM aren't judged: it is the
# last sixth of `graceS`, less a margin.
JUDGED_S = 6.5


class StreamingRunners:
    """Script of the runners; `goes_on` is clear while i-0 is silent."""

    def __init__(self) -> None:
        self.goes_on = asyncio.Event()
        self.goes_on.set()

    async def run(
        self,
        runner: standins.Runner,
        request: standins.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answers with a stream of events, from `Last-Event-Id` on."""
        await standins.read_body(reader, request)
        runner.begin(request)
        standins.start_stream(runner, request, writer)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, EVENTS + 1):
            if runner.name == "i-0":
                await self.goes_on.wait()
            standins.write_event(writer, number, request.request_id)
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        writer.write(b"0\r\n\r\n")
        runner.record.add("done", runner=runner.name, id=request.request_id)


async def play(scene: standins.Scene) -> bool:
    """Stops the machine in order while its streams run."""
    script = StreamingRunners()
    runners = [
        await scene.start_runner(f"i-{n}", "engines", script.run)
        for n in range(2)
    ]
    route = standins.build_route(
        "r1", "streaming", "engines", gapAimMs=GAP_AIM_MS
    )
    scene.store.put("config", "main", standins.build_config(7, [route]))
    node = await scene.start_node()
    await scene.settle()
    ends_s: dict[str, float] = {}

    async def stream(number: int) -> tuple[str, bool]:
        client = standins.Client(node.front, scene.record)
        request_id = f"s{number}"
        answer = await client.call(
            request_id,
            "/r1/x",
            Model="small",
            Token_Count="1110,150",
            Prompt_Prefix=f"a{number}:1110",
        )
        ends_s[request_id] = time.monotonic()
        client.close()
        events = answer.body.count(b"id: ")
        return request_id, answer.is_complete and events == EVENTS

    tasks = [asyncio.create_task(stream(n)) for n in range(STREAMS)]
    await asyncio.sleep(1.0)
    assert node.process is not None
    node.process.send_signal(signal.SIGTERM)
    term_s = time.monotonic()
    scene.record.add("SIGTERM", node=node.name)
    await asyncio.sleep(0.2)
    if scene.trouble:
        scene.record.add("silent", runner="i-0", seconds=SILENCE_S)
        script.goes_on.clear()
        await asyncio.sleep(SILENCE_S)
        script.goes_on.set()
        scene.record.add("goes on", runner="i-0")
    answers = await asyncio.gather(*tasks)
    lost = [
        request_id
        for request_id, is_whole in answers
        if not is_whole
        and ends_s[request_id] - term_s < JUDGED_S
        and any(request_id in runner.runs for runner in runners)
    ]
    scene.record.add("lost", count=len(lost), of=STREAMS, ids=",".join(lost))
    print(f"{len(lost)} of {STREAMS} streams were cut")
    return not lost


standins.run_case(play, pathlib.Path(__file__).parent)
