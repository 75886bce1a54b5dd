"""Live tests of routers that shut down gracefully and of leaving servers."""

import asyncio
import functools
from typing import Any
from urllib import parse

from harness import deployment, invariants, recording_client
from tests.builders import live

# A response takes longer than the time between SIGTERM and the closing of the
# public address, so that the shutdown has to wait for it.
_DECODE_S = 0.05
_CLIENT_TASKS = 6
_REQUESTS_PER_GROUP = 6
_GROUPS = 5
# Timeout for a change of state that normally takes a few seconds.
_STATE_TIMEOUT_S = 60.0


class GracefulShutdownTest(live.LiveTestCase):
    """Guards against requests that are interrupted by a graceful shutdown."""

    @classmethod
    def build_options(cls) -> deployment.DeploymentOptions:
        options = super().build_options()
        options.router_flags = ("--drain-s", "1")
        return options

    def setUp(self) -> None:
        self.sent: list[invariants.SentChat] = []
        self.routers_in_rotation = [1, 2, 3]
        self.in_flight: dict[int, int] = dict.fromkeys(
            self.routers_in_rotation, 0
        )
        self.is_finished = False

    async def _send_requests(self, worker: int) -> None:
        index = 0
        while not self.is_finished:
            number = self.routers_in_rotation[
                (worker + index) % len(self.routers_in_rotation)
            ]
            call = recording_client.ChatCall(
                f"{worker} {index}", stream=(worker + index) % 3 > 0
            )
            self.in_flight[number] += 1
            url = self.router(number).public_url
            response = await self.retry_until_confirmed(
                functools.partial(self.callers.chat, url, call)
            )
            self.in_flight[number] -= 1
            self.sent.append(invariants.SentChat(call, response))
            index += 1

    @live.run_on_deployment_loop
    async def test_stop_of_each_router_under_load(self) -> None:
        await self.control_running_engines(decode_s=_DECODE_S)
        workers = [
            asyncio.create_task(self._send_requests(number))
            for number in range(_CLIENT_TASKS)
        ]
        for number in (1, 2, 3):
            await recording_client.wait_until(
                lambda n=number: self.in_flight[n] >= 2
            )
            self.router(number).process.terminate()
            # The platform's load balancer does this when readiness fails.
            self.routers_in_rotation.remove(number)
            self.assertEqual(await self.router(number).process.wait(), 0)
            await recording_client.wait_until(
                lambda n=number: not self.in_flight[n]
            )
            await self.replace_router(number)
            self.routers_in_rotation.append(number)
        self.is_finished = True
        await asyncio.gather(*workers)
        for entry in self.sent:
            self.assertTrue(entry.response.is_complete, entry.response)
        self.assertEqual(invariants.find_text_faults(self.sent), [])
        router = self.router(1)
        faults = invariants.find_billing_faults(
            [entry.response for entry in self.sent],
            await self.running.read_ledger(),
            await self.running.read_statement(router),
        )
        self.assertEqual(faults, [])
        # The journals of the stopped routers are marked as ended.
        check = await self.running.check_ledger(router)
        self.assertEqual(check, {"gaps": [], "duplicates": []})


class AcceptedConnectionTest(live.LiveTestCase):
    """Guards against rejecting the first request of an accepted connection.

    A client that connected just before the listener closed sends its request
    shortly afterwards. It cannot know that the router is shutting down.
    """

    @classmethod
    def build_options(cls) -> deployment.DeploymentOptions:
        options = super().build_options()
        options.routers = deployment.ROUTERS[:1]
        options.router_flags = ("--drain-s", "0.5")
        return options

    @live.run_on_deployment_loop
    async def test_first_request_after_the_listener_closed(self) -> None:
        router = self.router(1)
        url = parse.urlsplit(router.public_url)
        reader, writer = await asyncio.open_connection(url.hostname, url.port)
        router.process.terminate()
        await self._wait_until_connections_refused(url)
        writer.write(b"GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        # The router read the request: without a key it is not authorized.
        self.assertIn(b" 401 ", head)
        self.assertIn(b"Connection: close", head)
        self.assertEqual(await router.process.wait(), 0)

    async def _wait_until_connections_refused(
        self, url: parse.SplitResult
    ) -> None:
        while True:
            try:
                _, writer = await asyncio.open_connection(
                    url.hostname, url.port
                )
            except OSError:
                return
            writer.close()
            await asyncio.sleep(0.005)


class LeavingServerTest(live.LiveTestCase):
    """Guards against sending requests to a backend server that is leaving."""

    @classmethod
    def build_options(cls) -> deployment.DeploymentOptions:
        options = super().build_options()
        options.routers = deployment.ROUTERS[:2]
        return options

    @classmethod
    def change_document(cls, document: dict[str, Any]) -> None:
        for entry in document["backend_servers"]:
            if entry["kind"] == "engine":
                entry["vm"] = f"vm-of-{entry['name']}"

    async def count_requests(self, name: str) -> int:
        state = await self.running.read_emulator(name)
        return state["counts"].get("requests", 0)

    async def send_batch(self) -> None:
        """Sends so many requests that random selection uses every server."""
        for group in range(_GROUPS):
            responses = await asyncio.gather(
                *(
                    self.retry_until_confirmed(
                        functools.partial(
                            self.callers.chat,
                            self.router(index % 2 + 1).public_url,
                            recording_client.ChatCall(f"batch {group} {index}"),
                        )
                    )
                    for index in range(_REQUESTS_PER_GROUP)
                )
            )
            for response in responses:
                self.assertTrue(response.is_complete, response)

    async def wait_until_server_is_used(
        self, name: str, expected: bool
    ) -> None:
        """Waits until a server receives requests, or receives none.

        Args:
            name: Name of the server.
            expected: Whether it is to receive requests of a batch.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + _STATE_TIMEOUT_S
        while loop.time() < end_s:
            before = await self.count_requests(name)
            await self.send_batch()
            if (await self.count_requests(name) > before) is expected:
                return
        self.fail(f"{name} receives requests: {not expected}")

    async def check_server_becomes_unused(self, name: str) -> None:
        await self.wait_until_server_is_used(name, False)
        before = await self.count_requests(name)
        for _ in range(2):
            await self.send_batch()
        self.assertEqual(await self.count_requests(name), before)

    @live.run_on_deployment_loop
    async def test_leaving_on_the_vm_list(self) -> None:
        await self.wait_until_server_is_used("engine-1", True)
        await self.running.publish_vms(frozenset({"vm-of-engine-1"}))
        await self.check_server_becomes_unused("engine-1")
        await self.running.publish_vms()
        await self.wait_until_server_is_used("engine-1", True)

    @live.run_on_deployment_loop
    async def test_leaving_in_the_configuration(self) -> None:
        # The servers in the data centre of the routers are preferred.
        await self.wait_until_server_is_used("engine-3", True)
        document = self.running.document
        for entry in document["backend_servers"]:
            entry["state"] = "active"
            if entry["name"] == "engine-3":
                entry["state"] = "leaving"
        await self.running.apply(document)
        await self.check_server_becomes_unused("engine-3")
