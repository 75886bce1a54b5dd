"""Each caller receives the whole answer to its own request."""

import asyncio
import os
import random
from typing import Any

from harness import deployment, invariants, recording_client
from tests.builders import live

_DECODE_S = 0.005
_STREAMS = 40
_WHOLE = 20


class OwnAnswerTest(live.LiveTestCase):
    """Guards against cut, mixed-up and repeated parts of answers."""

    @classmethod
    def build_options(cls) -> deployment.DeploymentOptions:
        options = super().build_options()
        options.routers = deployment.ROUTERS[:2]
        options.backend_proxies = True
        return options

    @classmethod
    def change_document(cls, document: dict[str, Any]) -> None:
        # A hedge runs a request a second time, which would look like a retry.
        document.setdefault("policy", {})["hedge_budget_share"] = 0.0

    def setUp(self) -> None:
        seed = int(os.environ.get("DRAGONFLYDYKE_SEED", "1"))
        self.random = random.Random(seed)
        self.sent: list[invariants.SentChat] = []

    async def ask(
        self, call: recording_client.ChatCall, **options: Any
    ) -> None:
        number = self.random.choice((1, 2))
        url = self.router(number).public_url
        answer = await self.callers.chat(url, call, **options)
        self.sent.append(invariants.SentChat(call, answer))

    def check_texts(self) -> None:
        self.assertEqual(invariants.find_text_faults(self.sent), [])
        for entry in self.sent:
            answer = entry.response
            self.assertTrue(answer.is_complete or answer.error, answer)

    def cut_links(self) -> None:
        for entry in self.running.backend_proxies.values():
            entry.reset_connections()

    async def count(self, name: str) -> int:
        counters = [
            await self.running.read_counters(router)
            for router in self.running.routers.values()
        ]
        return sum(entry.get(name, 0) for entry in counters)

    @live.on_deployment
    async def test_broken_stream_is_resumed(self) -> None:
        await self.control_engines(decode_s=_DECODE_S)
        for words in (1, 2, 16, recording_client.COMPLETION_TOKENS - 1):
            cut = asyncio.Event()

            def cut_at_words(
                text: str, words: int = words, cut: asyncio.Event = cut
            ) -> None:
                if len(text.split()) >= words and not cut.is_set():
                    cut.set()
                    self.cut_links()

            call = recording_client.ChatCall(f"cut after {words} words")
            await self.ask(call, on_text=cut_at_words)
            self.assertTrue(cut.is_set())
        self.check_texts()
        runs = await self.running.read_runs()
        for entry in self.sent:
            self.assertTrue(entry.response.is_complete, entry.response)
            # It was continued and not run again.
            self.assertEqual(runs[entry.response.request_id], 1)
        self.assertGreater(await self.count("stream.resumed"), 0)

    @live.on_deployment
    async def test_distinct_prompts_over_bad_links(self) -> None:
        await self.control_engines(decode_s=_DECODE_S)
        proxies = self.running.backend_proxies
        proxies["engine-1"].faults.delay_s = 0.005
        proxies["engine-2"].faults.reset_after_bytes_to_client = 6_000
        await self.running.control_emulator(
            "engine-3", stall_requests=5, stall_after_tokens=3, stall_s=0.3
        )
        calls = [
            recording_client.ChatCall(
                f"prompt {index} {self.random.random()}",
                stream=index < _STREAMS,
                max_tokens=self.random.randint(1, 40),
            )
            for index in range(_STREAMS + _WHOLE)
        ]
        cutting = asyncio.create_task(self._cut_repeatedly())
        await asyncio.gather(*(self.ask(call) for call in calls))
        cutting.cancel()
        for entry in proxies.values():
            entry.clear_faults()
        self.check_texts()
        whole = sum(entry.response.is_complete for entry in self.sent)
        self.assertGreater(whole, 0)

    async def _cut_repeatedly(self) -> None:
        while True:
            await asyncio.sleep(self.random.uniform(0.05, 0.3))
            name = self.random.choice(sorted(self.running.backend_proxies))
            self.running.backend_proxies[name].reset_connections()
