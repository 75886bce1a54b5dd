"""Tests of data centres whose servers fail together."""

import asyncio
import unittest

from dragonflydyke import metrics
from dragonflydyke.forwarding import (
    directory,
    failure_domains,
    model,
)
from tests.builders import forwarding, scripted_servers


def _build_servers(**counts: int) -> list[directory.ServerEntry]:
    """Returns servers that nobody listens for, by data centre."""
    return [
        forwarding.build_server_entry(
            f"{name}-{number}", pool="plain", data_centre=name
        )
        for name, count in counts.items()
        for number in range(count)
    ]


class FailureDomainsTest(unittest.TestCase):
    """Guards against a data centre that is avoided too late, or for nothing."""

    def setUp(self) -> None:
        self.counters = metrics.Counters()
        self.domains = failure_domains.FailureDomains(self.counters)
        self.servers = _build_servers(north=4, south=2)

    def connect(self, number: int, now_s: float, *, accepted: bool) -> None:
        """Records a connection to a server of the data centre north."""
        self.domains.record_connection(
            self.servers[number], now_s, accepted=accepted
        )

    def list_preferred(self, now_s: float, **refusals: int) -> set[str]:
        """Returns the data centres that a request prefers."""
        preferred = self.domains.list_preferred(self.servers, refusals, now_s)
        return {server.backend.data_centre for server in preferred}

    def test_servers_that_refuse_together_are_avoided_for_a_time(self) -> None:
        self.connect(0, 1.0, accepted=False)
        self.assertEqual(self.list_preferred(1.0), {"north", "south"})
        self.connect(1, 1.1, accepted=False)
        self.assertEqual(self.list_preferred(1.1), {"south"})
        self.assertEqual(self.list_preferred(4.2), {"north", "south"})
        # One further refusal is enough, and one connection ends it.
        self.connect(2, 4.2, accepted=False)
        self.assertEqual(self.list_preferred(4.2), {"south"})
        self.connect(3, 4.3, accepted=True)
        self.assertEqual(self.list_preferred(4.3), {"north", "south"})
        self.assertEqual(self.counters.total("failure_domain.avoided"), 2)

    def test_one_broken_server_of_many_is_no_failed_data_centre(self) -> None:
        for step in range(50):
            self.connect(0, step * 0.1, accepted=False)
            self.assertEqual(
                self.list_preferred(step * 0.1), {"north", "south"}
            )
            self.connect(1 + step % 3, step * 0.1, accepted=True)
        # Its request goes to a neighbour while these answer.
        preferred = self.list_preferred(5.0, north=1)
        self.assertEqual(preferred, {"north", "south"})
        self.assertEqual(self.list_preferred(5.0, north=2), {"south"})
        self.assertEqual(self.list_preferred(9.0, north=1), {"south"})

    def test_no_server_is_excluded_if_nothing_else_is_usable(self) -> None:
        """The link of the node itself may be the one that is broken."""
        for number in range(len(self.servers)):
            self.connect(number, 1.0, accepted=False)
        preferred = self.list_preferred(1.0, north=2, south=2)
        self.assertEqual(preferred, {"north", "south"})


class FailedDataCentreTest(forwarding.ForwardingTestCase):
    """Replays servers of a data centre that go down together.

    Guards against requests that end after five servers of one data centre.
    """

    def set_kind(self, kind: model.RequestKind, version: int) -> None:
        """Puts a configuration with one route in force."""
        self.forwarder.policy = forwarding.build_policy(
            forwarding.build_plain_route(kind), version=version
        )

    async def test_requests_of_all_kinds_reach_the_live_servers(self) -> None:

        async def run(request, writer) -> None:
            scripted_servers.write_response(request, writer, b"done")
            await writer.drain()

        single = dict.fromkeys("abcdefg", 1)
        self._listed_servers.extend(_build_servers(north=4, **single))
        await self.start_server("live", run, pool="plain", data_centre="south")
        kinds = (model.RequestKind.IDEMPOTENT, model.RequestKind.NON_IDEMPOTENT)
        for number, kind in enumerate(kinds * 3):
            self.set_kind(kind, number)
            response = await self.fetch(Attempt_Id=f"r{number}")
            self.assertEqual(response.status, 200)
        self.assertEqual(len(self.servers["live"].received), 6)

    async def test_dead_servers_alone_end_a_request(self) -> None:
        self.set_kind(model.RequestKind.NON_IDEMPOTENT, 2)
        servers = _build_servers(north=8, east=8)
        self.directory.update(servers, self.loop.time(), after_outage=False)
        async with asyncio.timeout(5.0):
            response = await self.fetch()
        self.assertEqual(response.status, 503)
