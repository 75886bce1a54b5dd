"""Planned stops of routers and backend servers that leave."""

import asyncio
import functools
from typing import Any
from urllib import parse

from harness import deployment, invariants, recording_client
from tests.builders import live

# An answer takes longer than the time between SIGTERM and the closing of the
# public address, so that a stop has to wait for it.
_DECODE_S = 0.05
_WORKERS = 6
_GROUP = 6
_GROUPS = 5
# Bounds the wait for a state that takes a few seconds.
_GUARD_S = 60.0


class PlannedStopTest(live.LiveTestCase):
    """Guards against requests that are cut off by a planned stop."""

    @classmethod
    def build_options(cls) -> deployment.DeploymentOptions:
        options = super().build_options()
        options.router_flags = ("--drain-s", "1")
        return options

    def setUp(self) -> None:
        self.sent: list[invariants.SentChat] = []
        self.choice = [1, 2, 3]
        self.under_way: dict[int, int] = dict.fromkeys(self.choice, 0)
        self.is_over = False

    async def _work(self, worker: int) -> None:
        index = 0
        while not self.is_over:
            number = self.choice[(worker + index) % len(self.choice)]
            call = recording_client.ChatCall(
                f"{worker} {index}", stream=(worker + index) % 3 > 0
            )
            self.under_way[number] += 1
            url = self.router(number).public_url
            answer = await self.retry_unconfirmed(
                functools.partial(self.callers.chat, url, call)
            )
            self.under_way[number] -= 1
            self.sent.append(invariants.SentChat(call, answer))
            index += 1

    @live.on_deployment
    async def test_stop_of_each_router_under_load(self) -> None:
        await self.control_engines(decode_s=_DECODE_S)
        workers = [
            asyncio.create_task(self._work(number))
            for number in range(_WORKERS)
        ]
        for number in (1, 2, 3):
            await recording_client.wait_until(
                lambda n=number: self.under_way[n] >= 2
            )
            self.router(number).process.terminate()
            # The balancer of the platform does this when readiness fails.
            self.choice.remove(number)
            self.assertEqual(await self.router(number).process.wait(), 0)
            await recording_client.wait_until(
                lambda n=number: not self.under_way[n]
            )
            await self.replace_router(number)
            self.choice.append(number)
        self.is_over = True
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
    """Guards against refusing the first request of an accepted connection.

    A caller that connected just before the listener closed sends its request
    a moment later, and has no reason to expect a refusal.
    """

    @classmethod
    def build_options(cls) -> deployment.DeploymentOptions:
        options = super().build_options()
        options.routers = deployment.ROUTERS[:1]
        options.router_flags = ("--drain-s", "0.5")
        return options

    @live.on_deployment
    async def test_first_request_after_the_listener_closed(self) -> None:
        router = self.router(1)
        url = parse.urlsplit(router.public_url)
        reader, writer = await asyncio.open_connection(url.hostname, url.port)
        router.process.terminate()
        await self._wait_refused(url)
        writer.write(b"GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        # The router read the request: without a key it is not authorized.
        self.assertIn(b" 401 ", head)
        self.assertIn(b"Connection: close", head)
        self.assertEqual(await router.process.wait(), 0)

    async def _wait_refused(self, url: parse.SplitResult) -> None:
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
    """Guards against new work for a backend server that is leaving."""

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
        """Sends requests that chance would not keep from a server."""
        for group in range(_GROUPS):
            answers = await asyncio.gather(
                *(
                    self.retry_unconfirmed(
                        functools.partial(
                            self.callers.chat,
                            self.router(index % 2 + 1).public_url,
                            recording_client.ChatCall(f"batch {group} {index}"),
                        )
                    )
                    for index in range(_GROUP)
                )
            )
            for answer in answers:
                self.assertTrue(answer.is_complete, answer)

    async def wait_for_work(self, name: str, expected: bool) -> None:
        """Waits until a server gets work of a batch, or gets none."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + _GUARD_S
        while loop.time() < end_s:
            before = await self.count_requests(name)
            await self.send_batch()
            if (await self.count_requests(name) > before) is expected:
                return
        self.fail(f"{name} gets work: {not expected}")

    async def check_leaves(self, name: str) -> None:
        await self.wait_for_work(name, False)
        before = await self.count_requests(name)
        for _ in range(2):
            await self.send_batch()
        self.assertEqual(await self.count_requests(name), before)

    @live.on_deployment
    async def test_leaving_on_the_vm_list(self) -> None:
        await self.wait_for_work("engine-1", True)
        await self.running.publish_vms(frozenset({"vm-of-engine-1"}))
        await self.check_leaves("engine-1")
        await self.running.publish_vms()
        await self.wait_for_work("engine-1", True)

    @live.on_deployment
    async def test_leaving_in_the_configuration(self) -> None:
        # The servers in the data centre of the routers are preferred.
        await self.wait_for_work("engine-3", True)
        document = self.running.document
        for entry in document["backend_servers"]:
            entry["state"] = "active"
            if entry["name"] == "engine-3":
                entry["state"] = "leaving"
        await self.running.apply(document)
        await self.check_leaves("engine-3")
