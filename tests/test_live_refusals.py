"""What callers are told of the execution is true, with broken links."""

import asyncio
from typing import Any

from harness import deployment, invariants, proxy, recording_client
from tests.builders import live

_DEADLINE_MS = 400
_BACKENDS = ("engine-1", "engine-2", "labels-1")


class NotRunTest(live.LiveTestCase):
    """Guards against "not run" for a request that ran, or runs later."""

    @classmethod
    def build_options(cls) -> deployment.DeploymentOptions:
        options = super().build_options()
        options.routers = deployment.ROUTERS[:1]
        options.backend_proxies = True
        return options

    @classmethod
    def change_document(cls, document: dict[str, Any]) -> None:
        document["backend_servers"] = [
            entry
            for entry in document["backend_servers"]
            if entry["name"] in _BACKENDS
        ]

    def setUp(self) -> None:
        self.answers: list[recording_client.RecordedResponse] = []
        self.prints: list[tuple[str, recording_client.RecordedResponse]] = []

    async def send_all(self, name: str, deadline_ms: int = 0) -> None:
        """Sends one request of each kind and keeps the answers."""
        url = self.router(1).public_url
        headers = {}
        if deadline_ms:
            headers["Dragonflydyke-Deadline-Ms"] = str(deadline_ms)
        key = f"key of {name}"
        sent = await asyncio.gather(
            self.callers.chat(
                url,
                recording_client.ChatCall(name, headers=headers, stream=True),
            ),
            self.callers.chat(
                url,
                recording_client.ChatCall(name, headers=headers, stream=False),
            ),
            self.callers.call_service(url, "lookup", headers=headers),
            self.callers.call_service(
                url, "print", key, {"name": name}, headers
            ),
        )
        self.answers += sent
        self.prints.append((key, sent[3]))

    def set_faults(self, **faults: Any) -> None:
        for entry in self.running.backend_proxies.values():
            for name, value in faults.items():
                setattr(entry.faults, name, value)

    async def heal(self) -> None:
        """Ends all faults and waits until no request is left anywhere."""
        for entry in self.running.backend_proxies.values():
            entry.clear_faults()
        await self.wait_idle()

    async def wait_idle(self) -> None:
        router = self.router(1)
        while True:
            states = [
                await self.running.read_emulator(name) for name in _BACKENDS
            ]
            reply = await self.running.http.call(
                "GET",
                f"{router.admin_url}/v1/counters",
                headers=deployment.build_operator_headers(),
            )
            busy = sum(
                s.get("running", 0) + s.get("waiting", 0) for s in states
            )
            gauges = reply.json()["gauges"]
            if not busy and not gauges.get("request.in_progress"):
                return
            await asyncio.sleep(0.02)

    async def check_executions(self) -> dict[str, int]:
        runs = await self.running.read_runs()
        self.assertEqual(
            invariants.find_false_execution_statuses(self.answers, runs), []
        )
        told = {answer.execution for answer in self.answers}
        self.assertLessEqual(told, {"", "not run", "unknown", "ran"})
        for answer in self.answers:
            self.assertTrue(answer.is_complete or answer.error, answer)
        return runs

    async def check_keys(self) -> None:
        """A print that did not run frees its key; others never run again."""
        for key, answer in self.prints:
            name = key.removeprefix("key of ")
            url = self.router(1).public_url
            retry = await self.callers.call_service(
                url, "print", key, {"name": name}
            )
            if answer.execution == "unknown":
                self.assertEqual(retry.error["code"], "call_in_progress")
            else:
                self.assertTrue(retry.is_complete, (answer, retry))
        state = await self.running.read_emulator("labels-1")
        self.assertEqual(
            invariants.find_duplicate_executions(state["executions"]), []
        )

    @live.on_deployment
    async def test_refused_connections(self) -> None:
        self.set_faults(refuse=True)
        await self.send_all("refused by the proxy")
        await self.heal()
        # A listener that is gone refuses each connection, which is certain.
        for entry in self.running.backend_proxies.values():
            await entry.stop()
        await self.send_all("refused by the system")
        self.assertEqual(
            {answer.execution for answer in self.answers[4:]}, {"not run"}
        )
        for name, stopped in self.running.backend_proxies.items():
            await self._restart_proxy(name, stopped)
        await self.running.apply(self.running.document)
        await self.check_executions()
        await self._wait_served()
        await self.check_keys()

    async def _restart_proxy(self, name: str, old: proxy.FaultProxy) -> None:
        address = self.running.backend_urls[name].removeprefix("http://")
        host, _, port = address.partition(":")
        new = proxy.FaultProxy(host, int(port))
        await new.start()
        self.running.backend_proxies[name] = new
        for entry in self.running.document["backend_servers"]:
            if entry["name"] == name:
                entry["url"] = f"http://{new.address}"

    async def _wait_served(self) -> None:
        """Waits until ejected backend servers take work again."""
        url = self.router(1).public_url
        while True:
            chat = await self.callers.chat(
                url, recording_client.ChatCall("ready")
            )
            call = await self.callers.call_service(url, "lookup")
            if chat.is_complete and call.is_complete:
                return
            await asyncio.sleep(0.05)

    @live.on_deployment
    async def test_cuts_in_the_request(self) -> None:
        for position in (0, 1, 100, 200, 300, 400, 500, 600):
            self.set_faults(reset_after_bytes_to_server=position)
            await self.send_all(f"request cut at {position:03}")
            await self.heal()
            await self._wait_served()
        runs = await self.check_executions()
        unknown = [a for a in self.answers if a.execution == "unknown"]
        self.assertTrue(any(not runs.get(a.request_id) for a in unknown))
        await self.check_keys()

    @live.on_deployment
    async def test_cuts_in_the_answer(self) -> None:
        # Position 0 is right after the whole request.
        for position in (0, 1, 100, 200, 300, 1_000, 3_000):
            self.set_faults(reset_after_bytes_to_client=position)
            await self.send_all(f"answer cut at {position:04}")
            await self.heal()
            await self._wait_served()
        runs = await self.check_executions()
        unknown = [a for a in self.answers if a.execution == "unknown"]
        self.assertTrue(any(runs.get(a.request_id) for a in unknown))
        await self.check_keys()

    @live.on_deployment
    async def test_freezes(self) -> None:
        # Guards against a request that was given up and arrives later.
        self.set_faults(frozen=True)
        await self.send_all("frozen", _DEADLINE_MS)
        await self.heal()
        self.set_faults(drop_to_client=True)
        await self.send_all("answer lost", _DEADLINE_MS)
        await self.heal()
        await self._wait_served()
        await self.check_executions()
        await self.check_keys()

    @live.on_deployment
    async def test_faults_of_the_servers(self) -> None:
        for fields in (
            {"cut_before_requests": 4},
            {"cut_after_requests": 4},
            {"error_share": 1.0},
            {"queue_limit": 0, "slots": 0},
        ):
            await self.control_engines(**fields)
            await self.send_all(f"engine with {sorted(fields)}", _DEADLINE_MS)
            await self.control_engines(
                cut_before_requests=0,
                cut_after_requests=0,
                error_share=0.0,
                queue_limit=1_000,
                slots=8,
            )
            await self._wait_served()
        for field in ("cut_before", "cut_after"):
            await self.running.control_emulator("labels-1", **{field: -1})
            await self.send_all(f"service with {field}")
            await self.running.control_emulator("labels-1", **{field: 0})
            await self._wait_served()
        await self.wait_idle()
        await self.check_executions()
        await self.check_keys()
