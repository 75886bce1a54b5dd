"""Live tests: errors state correctly whether a request ran.

The connections between the router and the backend servers are made to fail.
"""

import asyncio
from typing import Any

from harness import deployment, invariants, proxy, recording_client
from tests.builders import live

_DEADLINE_MS = 400
_BACKEND_SERVERS = ("engine-1", "engine-2", "labels-1")


class ExecutionStatementTest(live.LiveTestCase):
    """Guards against stating "not run" for a request that ran or runs later."""

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
            if entry["name"] in _BACKEND_SERVERS
        ]

    def setUp(self) -> None:
        self.responses: list[recording_client.RecordedResponse] = []
        self.prints: list[tuple[str, recording_client.RecordedResponse]] = []

    async def send_each_kind(self, name: str, deadline_ms: int = 0) -> None:
        """Sends one request of each kind and stores the responses."""
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
        self.responses += sent
        self.prints.append((key, sent[3]))

    def set_proxy_faults(self, **faults: Any) -> None:
        for entry in self.running.backend_proxies.values():
            for name, value in faults.items():
                setattr(entry.faults, name, value)

    async def end_faults(self) -> None:
        """Ends all proxy faults and waits until no request is in progress."""
        for entry in self.running.backend_proxies.values():
            entry.clear_faults()
        await self.wait_until_idle()

    async def wait_until_idle(self) -> None:
        router = self.router(1)
        while True:
            states = [
                await self.running.read_emulator(name)
                for name in _BACKEND_SERVERS
            ]
            reply = await self.running.call_admin(router, "/v1/counters")
            busy = sum(
                s.get("running", 0) + s.get("waiting", 0) for s in states
            )
            gauges = reply.json()["gauges"]
            if not busy and not gauges.get("request.in_progress"):
                return
            await asyncio.sleep(0.02)

    async def check_stated_executions(self) -> dict[str, int]:
        runs = await self.running.read_runs()
        self.assertEqual(
            invariants.find_false_execution_statuses(self.responses, runs), []
        )
        stated_executions = {response.execution for response in self.responses}
        self.assertLessEqual(
            stated_executions, {"", "not run", "unknown", "ran"}
        )
        for response in self.responses:
            self.assertTrue(response.is_complete or response.error, response)
        return runs

    async def check_print_retries(self) -> None:
        """Repeats each print call with its key.

        A call that did not run must run now; no other may run again.
        """
        for key, response in self.prints:
            name = key.removeprefix("key of ")
            url = self.router(1).public_url
            retry = await self.callers.call_service(
                url, "print", key, {"name": name}
            )
            if response.execution == "unknown":
                self.assertEqual(retry.error["code"], "call_in_progress")
            else:
                self.assertTrue(retry.is_complete, (response, retry))
        state = await self.running.read_emulator("labels-1")
        self.assertEqual(
            invariants.find_duplicate_executions(state["executions"]), []
        )

    @live.run_on_deployment_loop
    async def test_refused_connections(self) -> None:
        self.set_proxy_faults(refuse=True)
        await self.send_each_kind("refused by the proxy")
        await self.end_faults()
        # Without a listener the system refuses every connection, so it is
        # certain that the requests did not run.
        for entry in self.running.backend_proxies.values():
            await entry.stop()
        await self.send_each_kind("refused by the system")
        self.assertEqual(
            {response.execution for response in self.responses[4:]}, {"not run"}
        )
        for name, stopped in self.running.backend_proxies.items():
            await self._restart_proxy(name, stopped)
        await self.running.apply(self.running.document)
        await self.check_stated_executions()
        await self._wait_until_served()
        await self.check_print_retries()

    async def _restart_proxy(self, name: str, old: proxy.FaultProxy) -> None:
        address = self.running.backend_urls[name].removeprefix("http://")
        host, _, port = address.partition(":")
        new = proxy.FaultProxy(host, int(port))
        await new.start()
        self.running.backend_proxies[name] = new
        for entry in self.running.document["backend_servers"]:
            if entry["name"] == name:
                entry["url"] = f"http://{new.address}"

    async def _wait_until_served(self) -> None:
        """Waits until requests succeed, once ejected servers are used again."""
        url = self.router(1).public_url
        while True:
            chat = await self.callers.chat(
                url, recording_client.ChatCall("ready")
            )
            call = await self.callers.call_service(url, "lookup")
            if chat.is_complete and call.is_complete:
                return
            await asyncio.sleep(0.05)

    @live.run_on_deployment_loop
    async def test_connections_reset_while_sending_request(self) -> None:
        for position in (0, 1, 100, 200, 300, 400, 500, 600):
            self.set_proxy_faults(reset_after_bytes_to_server=position)
            await self.send_each_kind(f"request cut at {position:03}")
            await self.end_faults()
            await self._wait_until_served()
        runs = await self.check_stated_executions()
        unknown = [a for a in self.responses if a.execution == "unknown"]
        self.assertTrue(any(not runs.get(a.request_id) for a in unknown))
        await self.check_print_retries()

    @live.run_on_deployment_loop
    async def test_connections_reset_in_response(self) -> None:
        # Position 0 resets the connection right after the whole request.
        for position in (0, 1, 100, 200, 300, 1_000, 3_000):
            self.set_proxy_faults(reset_after_bytes_to_client=position)
            await self.send_each_kind(f"answer cut at {position:04}")
            await self.end_faults()
            await self._wait_until_served()
        runs = await self.check_stated_executions()
        unknown = [a for a in self.responses if a.execution == "unknown"]
        self.assertTrue(any(runs.get(a.request_id) for a in unknown))
        await self.check_print_retries()

    @live.run_on_deployment_loop
    async def test_frozen_connections(self) -> None:
        # Guards against a request that reaches the server after it timed out.
        self.set_proxy_faults(frozen=True)
        await self.send_each_kind("frozen", _DEADLINE_MS)
        await self.end_faults()
        self.set_proxy_faults(drop_to_client=True)
        await self.send_each_kind("answer lost", _DEADLINE_MS)
        await self.end_faults()
        await self._wait_until_served()
        await self.check_stated_executions()
        await self.check_print_retries()

    @live.run_on_deployment_loop
    async def test_faults_of_backend_servers(self) -> None:
        for fields in (
            {"cut_before_requests": 4},
            {"cut_after_requests": 4},
            {"error_share": 1.0},
            {"queue_limit": 0, "slots": 0},
        ):
            await self.control_running_engines(**fields)
            await self.send_each_kind(
                f"engine with {sorted(fields)}", _DEADLINE_MS
            )
            await self.control_running_engines(
                cut_before_requests=0,
                cut_after_requests=0,
                error_share=0.0,
                queue_limit=1_000,
                slots=8,
            )
            await self._wait_until_served()
        for field in ("cut_before", "cut_after"):
            await self.running.control_emulator("labels-1", **{field: -1})
            await self.send_each_kind(f"service with {field}")
            await self.running.control_emulator("labels-1", **{field: 0})
            await self._wait_until_served()
        await self.wait_until_idle()
        await self.check_stated_executions()
        await self.check_print_retries()
