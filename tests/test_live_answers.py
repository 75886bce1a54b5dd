"""Live tests: each client receives the complete response to its request."""

import asyncio
import os
import random
from typing import Any

from harness import deployment, invariants, recording_client
from tests.builders import live

_DECODE_S = 0.005
_STREAMED_REQUESTS = 40
_UNSTREAMED_REQUESTS = 20


class ResponseIntegrityTest(live.LiveTestCase):
    """Guards against truncated, mixed-up and repeated parts of responses."""

    @classmethod
    def build_options(cls) -> deployment.DeploymentOptions:
        options = super().build_options()
        options.routers = deployment.ROUTERS[:2]
        options.backend_proxies = True
        return options

    @classmethod
    def change_document(cls, document: dict[str, Any]) -> None:
        # A hedged attempt runs a request a second time, which these tests could
        # not distinguish from a retry.
        document.setdefault("policy", {})["hedge_budget_share"] = 0.0

    def setUp(self) -> None:
        seed = int(os.environ.get("DRAGONFLYDYKE_SEED", "1"))
        self.random = random.Random(seed)
        self.sent: list[invariants.SentChat] = []

    async def send_chat(
        self, call: recording_client.ChatCall, **options: Any
    ) -> None:
        number = self.random.choice((1, 2))
        url = self.router(number).public_url
        response = await self.callers.chat(url, call, **options)
        self.sent.append(invariants.SentChat(call, response))

    def check_responses(self) -> None:
        self.assertEqual(invariants.find_text_faults(self.sent), [])
        for entry in self.sent:
            response = entry.response
            self.assertTrue(response.is_complete or response.error, response)

    def reset_backend_connections(self) -> None:
        for entry in self.running.backend_proxies.values():
            entry.reset_connections()

    async def sum_counter(self, name: str) -> int:
        counters = [
            await self.running.read_counters(router)
            for router in self.running.routers.values()
        ]
        return sum(entry.get(name, 0) for entry in counters)

    @live.run_on_deployment_loop
    async def test_interrupted_stream_is_resumed(self) -> None:
        await self.control_running_engines(decode_s=_DECODE_S)
        for words in (1, 2, 16, recording_client.COMPLETION_TOKENS - 1):
            was_reset = asyncio.Event()

            def reset_at_words(
                text: str,
                words: int = words,
                was_reset: asyncio.Event = was_reset,
            ) -> None:
                if len(text.split()) >= words and not was_reset.is_set():
                    was_reset.set()
                    self.reset_backend_connections()

            call = recording_client.ChatCall(f"cut after {words} words")
            await self.send_chat(call, on_text=reset_at_words)
            self.assertTrue(was_reset.is_set())
        self.check_responses()
        runs = await self.running.read_runs()
        for entry in self.sent:
            self.assertTrue(entry.response.is_complete, entry.response)
            # The stream was resumed; the request did not run again.
            self.assertEqual(runs[entry.response.request_id], 1)
        self.assertGreater(await self.sum_counter("stream.resumed"), 0)

    @live.run_on_deployment_loop
    async def test_responses_match_their_prompts_over_faulty_links(
        self,
    ) -> None:
        await self.control_running_engines(decode_s=_DECODE_S)
        proxies = self.running.backend_proxies
        proxies["engine-1"].faults.delay_s = 0.005
        proxies["engine-2"].faults.reset_after_bytes_to_client = 6_000
        await self.running.control_emulator(
            "engine-3", stall_requests=5, stall_after_tokens=3, stall_s=0.3
        )
        calls = [
            recording_client.ChatCall(
                f"prompt {index} {self.random.random()}",
                stream=index < _STREAMED_REQUESTS,
                max_tokens=self.random.randint(1, 40),
            )
            for index in range(_STREAMED_REQUESTS + _UNSTREAMED_REQUESTS)
        ]
        cutting = asyncio.create_task(self._reset_links_repeatedly())
        await asyncio.gather(*(self.send_chat(call) for call in calls))
        cutting.cancel()
        for entry in proxies.values():
            entry.clear_faults()
        self.check_responses()
        whole = sum(entry.response.is_complete for entry in self.sent)
        self.assertGreater(whole, 0)

    async def _reset_links_repeatedly(self) -> None:
        while True:
            await asyncio.sleep(self.random.uniform(0.05, 0.3))
            name = self.random.choice(sorted(self.running.backend_proxies))
            self.running.backend_proxies[name].reset_connections()
