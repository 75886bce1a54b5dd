"""Tests with router processes: partitions, replacements and crashes."""

import asyncio
import collections
import itertools
import time

from harness import deployment, http
from tests.builders import integration

_LARGER_SIDE = ("router-1", "router-2", "router-3")
_SMALLER_SIDE = ("router-4", "router-5")
_ROUTERS = (
    *((vm, "cartago-a") for vm in _LARGER_SIDE),
    *((vm, "cartago-b") for vm in _SMALLER_SIDE),
)
_VM_LIST_LAG_S = 1.0
# Time for which proxies stand still, and for which they then run.
_HOLD_UP_S = 0.4
_PROXY_TURN_S = 0.02


class FleetTest(integration.IntegrationTestCase):
    """Guards against stale service and lost changes in a degraded fleet."""

    async def test_partition_replacement_and_crashes(self) -> None:
        await self.deploy(
            integration.build_mapping(versions=4),
            routers=_ROUTERS,
            peer_proxies=True,
        )
        with self.subTest("two data centres cannot reach each other"):
            await self._check_partition()
        with self.subTest("all routers are replaced behind a lagging list"):
            await self._check_replacement()
        with self.subTest("several routers crash at the same time"):
            await self._check_crashes()

    async def _check_partition(self) -> None:
        for vm in _SMALLER_SIDE:
            self.running.isolate_from_peers(vm, *_LARGER_SIDE)
        await self.wait_until(
            "the smaller side has lost the majority",
            lambda: self._is_apply_rejected(self.router(4), "no_majority"),
        )
        revision = await self.withdraw("v2")
        for router in self.running.routers.values():
            await self.wait_until(
                f"{router.vm} has the revision",
                lambda r=router: self._has_reached_revision(r, revision),
            )
        await self._check_withdrawn("v2")
        # Without the platform, only the majority side may continue to serve.
        await self.running.control_emulator("platform", outage=True)
        for vm in _SMALLER_SIDE:
            await self.wait_until(
                f"{vm} refuses",
                lambda v=vm: self._responds_with(v, "not_confirmed"),
            )
        for vm in _LARGER_SIDE:
            await self.wait_until(
                f"{vm} serves by the platform outage rule",
                lambda v=vm: self.read_counter(
                    self.running.routers[v], "permit.platform_outage"
                ),
            )
            await self.wait_until(
                f"{vm} serves", lambda v=vm: self._responds_with(v, "ok")
            )
        for vm in _SMALLER_SIDE:
            self.assertTrue(await self._responds_with(vm, "not_confirmed"))
        await self.running.control_emulator("platform", outage=False)
        self.running.clear_link_faults()
        await self.wait_in_force(revision, 4)
        for vm in (*_LARGER_SIDE, *_SMALLER_SIDE):
            await self.wait_until(
                f"{vm} serves", lambda v=vm: self._responds_with(v, "ok")
            )

    async def _check_replacement(self) -> None:
        """Replaces all routers, one after another, while sending requests."""
        await self.running.control_emulator(
            "platform", vm_list_lag_s=_VM_LIST_LAG_S
        )
        before = await self.read_revision(self.router(1))
        stopping = asyncio.Event()
        load = asyncio.create_task(self._send_until(stopping))
        for vm, data_centre in _ROUTERS:
            old = self.running.routers[vm]
            old.process.terminate()
            await old.process.wait()
            started = await self.running.start_router(vm, data_centre)
            await self.running.publish_vms()
            await self.running.wait_until_ready(started)
        stopping.set()
        outcomes, revisions = await load
        print("responses while all routers were replaced:", dict(outcomes))
        self.assertLessEqual(
            set(outcomes), {"ok", "not_confirmed", "connection refused"}
        )
        self.assertEqual(min(revisions), before)
        revision = await self.withdraw("v3", 5)
        await self.wait_in_force(revision, 2)
        await self._check_withdrawn("v3")
        await self.running.control_emulator("platform", vm_list_lag_s=0.0)

    async def _check_crashes(self) -> None:
        """Two of five routers crash and stay in the VM list, then a third."""
        for vm in _SMALLER_SIDE:
            self.running.routers[vm].process.kill()
        await asyncio.gather(
            *(self.running.routers[vm].process.wait() for vm in _SMALLER_SIDE)
        )
        revision = await self.withdraw("v4")
        for vm in _LARGER_SIDE:
            router = self.running.routers[vm]
            await self.wait_until(
                f"{vm} has the revision",
                lambda r=router: self._has_reached_revision(r, revision),
            )
        for vm in _SMALLER_SIDE:
            del self.running.routers[vm]
        await self._check_withdrawn("v4")
        self.running.routers["router-2"].process.kill()
        await self.running.routers["router-2"].process.wait()
        # Three of five listed routers have crashed, so there is no majority.
        await self.wait_until(
            "the remaining routers accept no change",
            lambda: self._is_apply_rejected(self.router(1), "no_majority"),
        )
        self.assertTrue(await self._responds_with("router-1", "ok"))
        del self.running.routers["router-2"]
        await self.running.publish_vms()
        accepted = await self.running.apply(
            self.running.document, self.router(1)
        )
        self.assertEqual(accepted, revision + 1)

    async def _send_until(
        self, stopping: asyncio.Event
    ) -> tuple[collections.Counter[str], set[int]]:
        """Sends requests in a loop; a rejection is retried at the next router.

        Returns:
            The number of responses by outcome, and the revisions that served.
        """
        outcomes: collections.Counter[str] = collections.Counter()
        revisions: set[int] = set()
        numbers = itertools.cycle(range(1, len(_ROUTERS) + 1))
        while not stopping.is_set():
            response = http.HttpResponse(0, {}, b"")
            while response.status != 200:
                response = await self.send_chat(self.router(next(numbers)))
                code = integration.read_code(response)
                if "ConnectionRefused" in response.error:
                    code = "connection refused"
                outcomes[code] += 1
            revisions.add(integration.read_revision(response))
        return outcomes, revisions

    async def _check_withdrawn(self, version: str) -> None:
        before = await self.count_engine_requests()
        for router in self.running.routers.values():
            response = await self.send_chat(
                router, f"{integration.MODEL}@{version}"
            )
            self.assertEqual(
                integration.read_code(response), "version_withdrawn", router.vm
            )
        after = await self.count_engine_requests()
        self.assertEqual(after[version], before[version])

    async def _is_apply_rejected(
        self, router: deployment.RunningRouter, code: str
    ) -> bool:
        response = await self.running.try_apply(
            self.running.document, router.admin_url
        )
        return integration.read_code(response) == code

    async def _responds_with(self, vm: str, code: str) -> bool:
        response = await self.send_chat(self.running.routers[vm])
        return integration.read_code(response) == code

    async def _has_reached_revision(
        self, router: deployment.RunningRouter, revision: int
    ) -> bool:
        return await self.read_revision(router) >= revision


class SlowLinksTest(integration.IntegrationTestCase):
    """Guards against routers that never connect over slow links.

    Connections were given up before the first bytes of the peer arrived, and
    2,500 new ones in a minute kept the proxies of a busy test slow.
    """

    async def test_routers_connect_while_the_proxies_are_slow(self) -> None:
        self._hold_up_proxies()
        self.addCleanup(self._cancel_timer)
        await self.deploy(
            integration.build_mapping(), routers=_ROUTERS, peer_proxies=True
        )

    def _cancel_timer(self) -> None:
        self._timer.cancel()

    def _hold_up_proxies(self) -> None:
        """Lets the loop, which runs the proxies, act twice a second."""
        time.sleep(_HOLD_UP_S)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_PROXY_TURN_S, self._hold_up_proxies)
