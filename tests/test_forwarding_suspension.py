"""Tests of requests that a process finds after it was suspended."""

import dataclasses

from dragonflydyke.configuration import model as configuration
from tests.builders import forwarding, scripted_servers


async def _respond(request, writer) -> None:
    scripted_servers.write_response(request, writer, b"answer")


class SuspendedProcessTest(forwarding.ForwardingTestCase):
    """Guards against decisions on what was known before a suspension."""

    def drain(self, name: str) -> None:
        """Lets the store list a server as draining."""
        self._listed_servers = [
            dataclasses.replace(
                entry,
                backend=dataclasses.replace(
                    entry.backend, state=configuration.ServerState.LEAVING
                ),
            )
            if entry.name == name
            else entry
            for entry in self._listed_servers
        ]
        self.directory.update(
            self._listed_servers, self.loop.time(), after_outage=False
        )

    async def test_revoked_key_is_rejected(self) -> None:
        server = await self.start_server("a", _respond)
        policy = forwarding.build_policy(version=2, key="next-key")
        self.store_knowledge.refresh = lambda: setattr(
            self.forwarder, "policy", policy
        )
        response = await self.fetch()
        self.assertEqual(response.status, 401)
        self.assertEqual(server.received, [])

    async def test_draining_server_gets_no_request(self) -> None:
        draining = await self.start_server("a", _respond)
        await self.start_server("b", _respond)
        self.store_knowledge.refresh = lambda: self.drain("a")
        response = await self.fetch()
        self.assertEqual(response.status, 200)
        self.assertEqual(draining.received, [])

    async def test_draining_server_gets_no_retry(self) -> None:
        """The suspension falls between two attempts of a request."""

        async def suspend(request, writer) -> None:
            other = "b" if request.headers["Expect-Runner"] == "a" else "a"
            self.store_knowledge.refresh = lambda: self.drain(other)
            writer.transport.abort()

        first = await self.start_server("a", suspend)
        second = await self.start_server("b", suspend)
        await self.start_server("c", _respond)
        while not self.count_received() > len(self.servers["c"].received):
            await self.fetch()
        self.assertEqual(len(first.received) + len(second.received), 1)
