"""Tests of evacuations with a router process and faults of the store."""

import asyncio
import pathlib
import random
import signal
import tempfile
import time
import unittest

from tests.builders import stalls
from tests.soak import deployment, load, request_log

_REQUESTS = 6
_UNAVAILABLE = 503
# Bound on a change in steady state.
_STEADY_S = 1.0
# A node whose store returns is in contact again after this time.
_CONTACT_S = 3.0
_OWN, _OTHER = deployment.DATA_CENTRES


class _FaultlessSource(random.Random):
    """Random source with which servers serve all requests."""

    def random(self) -> float:
        return 0.5


class LiveEvacuationTest(unittest.IsolatedAsyncioTestCase):
    """Guards against evacuations that a node does not see begin or end."""

    async def asyncSetUp(self) -> None:
        """Starts one node and servers in two data centres."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.site = deployment.SoakDeployment(
            pathlib.Path(folder.name), 1, _FaultlessSource()
        )
        # Servers count as cold after an evacuation, which would delay the
        # return to them beyond the bounds on evacuations.
        self.site.cold_per_s = 0.0
        self.addAsyncCleanup(self.site.stop)
        await self.site.start()
        (self.node,) = self.site.nodes
        self.stub = self.site.store_stub
        self.load = load.LoadGenerator(self.site, _FaultlessSource())

    async def find_used(self) -> set[str]:
        """Sends requests and returns the data centres that ran them.

        The name `none` stands for requests that were rejected.
        """
        records = self.site.request_log.records
        used = set()
        for _ in range(_REQUESTS):
            status = await self.load.probe(self.node, "safe")
            runs = records[next(reversed(records))].runs
            used.update(self.site.servers[name].data_centre for name in runs)
            if status == _UNAVAILABLE:
                used.add("none")
        return used

    async def wait_for(self, *used: str, limit_s: float) -> None:
        """Waits until requests use exactly these data centres.

        The limit is on the node. Time in which this process stands still, with
        the store that it serves, is not counted.
        """
        started_s = time.monotonic()
        meter = stalls.StallMeter()
        try:
            while await self.find_used() != set(used):
                elapsed_s = time.monotonic() - started_s
                self.assertLess(elapsed_s - meter.total_s, limit_s)
                await asyncio.sleep(0.02)
        finally:
            meter.stop()

    async def test_own_and_all_data_centres_are_evacuated(self) -> None:
        await self.wait_for(_OWN, limit_s=_STEADY_S)
        await self.site.evacuate(_OWN)
        await self.wait_for(_OTHER, limit_s=_STEADY_S)
        await asyncio.sleep(_STEADY_S)
        await self.site.evacuate(_OTHER)
        await self.wait_for("none", limit_s=_STEADY_S)
        await asyncio.sleep(_STEADY_S)
        await self.site.end_evacuation(_OWN)
        await self.wait_for(_OWN, limit_s=_STEADY_S)

    async def change(self) -> str:
        """Begins or ends the evacuation; returns the place to use then."""
        if _OWN in self.site.request_log.evacuations.begun_s:
            await self.site.end_evacuation(_OWN)
            return _OWN
        await self.site.evacuate(_OWN)
        return _OTHER

    async def test_changes_are_seen_despite_a_stale_or_slow_store(self) -> None:
        """Begins and withdraws an evacuation under each fault."""

        def hold_replicas() -> None:
            self.stub.stuck_revision = self.stub.revision

        def lose_responses() -> None:
            self.stub.silence_watches("evacuations")

        def delay_calls() -> None:
            self.node.store_proxy.faults.delay_s = 0.1

        for fault in (hold_replicas, lose_responses, delay_calls) * 2:
            with self.subTest(fault.__name__):
                fault()
                place = await self.change()
                await self.wait_for(place, limit_s=request_log.EVACUATION_S)
                self.stub.stuck_revision = None
                self.node.store_proxy.clear_faults()

    async def test_changes_are_seen_after_the_return_of_the_store(self) -> None:
        """What the node knows holds while the store is away."""
        await self.site.evacuate(_OWN)
        for before in (_OTHER, _OWN):
            await self.wait_for(before, limit_s=_STEADY_S)
            self.node.store_proxy.isolate()
            place = await self.change()
            await asyncio.sleep(_STEADY_S)
            self.assertEqual(await self.find_used(), {before})
            self.node.store_proxy.clear_faults()
            await self.wait_for(place, limit_s=_CONTACT_S)

    async def test_suspended_node_uses_what_is_true_when_it_continues(
        self,
    ) -> None:
        for keeps in (False, True):
            self.node.send_signal(signal.SIGSTOP)
            await self.site.evacuate(_OWN)
            if not keeps:
                await self.site.end_evacuation(_OWN)
            await asyncio.sleep(request_log.EVACUATION_S)
            self.node.send_signal(signal.SIGCONT)
            await self.wait_for(_OTHER if keeps else _OWN, limit_s=0.5)

    async def test_node_is_not_ready_before_it_knows_evacuations(self) -> None:
        await self.node.kill()
        await self.site.evacuate(_OWN)
        self.stub.rejected_kinds.add("evacuations")
        await self.node.start()
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(_CONTACT_S):
                await self.node.wait_ready()
        self.stub.rejected_kinds.clear()
        await self.node.wait_ready()
        self.assertNotIn(_OWN, await self.find_used())
