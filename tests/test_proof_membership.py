"""Membership of real routers: lagging lists, losses, partitions."""

import asyncio
import collections
import itertools

from harness import deployment, http
from tests.builders import integration

_NEAR = ("router-1", "router-2", "router-3")
_FAR = ("router-4", "router-5")
_ROUTERS = (
    *((vm, "cartago-a") for vm in _NEAR),
    *((vm, "cartago-b") for vm in _FAR),
)
_VM_LIST_LAG_S = 1.0


class FleetTest(integration.IntegrationTestCase):
    """Guards against a split or lost fleet that serves or changes wrongly."""

    async def test_partition_loss_and_replacement(self) -> None:
        await self.deploy(
            integration.build_mapping(versions=4),
            routers=_ROUTERS,
            peer_proxies=True,
        )
        with self.subTest("two data centres cannot reach each other"):
            await self._check_partition()
        with self.subTest("all routers are replaced behind a lagging list"):
            await self._check_replacement()
        with self.subTest("several routers are gone at once"):
            await self._check_loss()

    async def _check_partition(self) -> None:
        for vm in _FAR:
            self.running.isolate_from_peers(vm, *_NEAR)
        await self.poll(
            "the smaller side has lost the majority",
            lambda: self._is_refused(self.router(4), "no_majority"),
        )
        revision = await self.withdraw("v2")
        for router in self.running.routers.values():
            await self.poll(
                f"{router.vm} has the revision",
                lambda r=router: self._has_revision(r, revision),
            )
        await self._check_withdrawn("v2")
        # Without the platform too, only the larger side may go on.
        await self.running.control_emulator("platform", outage=True)
        for vm in _FAR:
            await self.poll(
                f"{vm} refuses",
                lambda v=vm: self._answers(v, "not_confirmed"),
            )
        for vm in _NEAR:
            await self.poll(
                f"{vm} serves by rule B",
                lambda v=vm: self.count(
                    self.running.routers[v], "permit.platform_outage"
                ),
            )
            await self.poll(f"{vm} serves", lambda v=vm: self._answers(v, "ok"))
        for vm in _FAR:
            self.assertTrue(await self._answers(vm, "not_confirmed"))
        await self.running.control_emulator("platform", outage=False)
        self.running.clear_link_faults()
        await self.wait_in_force(revision, 4)
        for vm in (*_NEAR, *_FAR):
            await self.poll(f"{vm} serves", lambda v=vm: self._answers(v, "ok"))

    async def _check_replacement(self) -> None:
        """Replaces routers under load; each request is served once."""
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
        print("answers while all routers were replaced:", dict(outcomes))
        self.assertLessEqual(
            set(outcomes), {"ok", "not_confirmed", "connection refused"}
        )
        self.assertEqual(min(revisions), before)
        revision = await self.withdraw("v3", 5)
        await self.wait_in_force(revision, 2)
        await self._check_withdrawn("v3")
        await self.running.control_emulator("platform", vm_list_lag_s=0.0)

    async def _check_loss(self) -> None:
        """Two of five routers vanish and stay on the list."""
        for vm in _FAR:
            self.running.routers[vm].process.kill()
        await asyncio.gather(
            *(self.running.routers[vm].process.wait() for vm in _FAR)
        )
        revision = await self.withdraw("v4")
        for vm in _NEAR:
            router = self.running.routers[vm]
            await self.poll(
                f"{vm} has the revision",
                lambda r=router: self._has_revision(r, revision),
            )
        for vm in _FAR:
            del self.running.routers[vm]
        await self._check_withdrawn("v4")
        self.running.routers["router-2"].process.kill()
        await self.running.routers["router-2"].process.wait()
        # Three of five are gone: a majority cannot be asked.
        await self.poll(
            "the rest accepts no change",
            lambda: self._is_refused(self.router(1), "no_majority"),
        )
        self.assertTrue(await self._answers("router-1", "ok"))
        del self.running.routers["router-2"]
        await self.running.publish_vms()
        accepted = await self.running.apply(
            self.running.document, self.router(1)
        )
        self.assertEqual(accepted, revision + 1)

    async def _send_until(
        self, stopping: asyncio.Event
    ) -> tuple[collections.Counter[str], set[int]]:
        """Sends like a caller that goes to the next router when refused."""
        outcomes: collections.Counter[str] = collections.Counter()
        revisions: set[int] = set()
        numbers = itertools.cycle(range(1, len(_ROUTERS) + 1))
        while not stopping.is_set():
            reply = http.HttpResponse(0, {}, b"")
            while reply.status != 200:
                reply = await self.ask(self.router(next(numbers)))
                code = integration.read_code(reply)
                if "ConnectionRefused" in reply.error:
                    code = "connection refused"
                outcomes[code] += 1
            revisions.add(integration.read_revision(reply))
        return outcomes, revisions

    async def _check_withdrawn(self, version: str) -> None:
        before = await self.count_received()
        for router in self.running.routers.values():
            reply = await self.ask(router, f"{integration.MODEL}@{version}")
            self.assertEqual(
                integration.read_code(reply), "version_withdrawn", router.vm
            )
        after = await self.count_received()
        self.assertEqual(after[version], before[version])

    async def _is_refused(
        self, router: deployment.RunningRouter, code: str
    ) -> bool:
        reply = await self.running.try_apply(
            self.running.document, router.admin_url
        )
        return integration.read_code(reply) == code

    async def _answers(self, vm: str, code: str) -> bool:
        reply = await self.ask(self.running.routers[vm])
        return integration.read_code(reply) == code

    async def _has_revision(
        self, router: deployment.RunningRouter, revision: int
    ) -> bool:
        return await self.read_revision(router) >= revision
