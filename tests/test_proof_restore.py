"""Tests of a platform that is restored from a copy, with real processes."""

import asyncio
from typing import Any

from harness import deployment
from tests.builders import integration

_MODEL = integration.MODEL


class RestoredPlatformTest(integration.IntegrationTestCase):
    """Guards against routers that stop serving, or go back, after a restore.

    Requests go on at all routers; the copy is older than a change of the
    configuration, the stop of a rollout and the lease.
    """

    async def test_withdrawn_version_stays_withdrawn(self) -> None:
        await self.deploy(integration.build_mapping(versions=3))
        await self.running.control_emulator("platform", take_copy=True)
        revision = await self.withdraw("v2")
        await self.wait_in_force(revision)
        await self.running.control_emulator("platform", restore=True)
        before = (await self.count_engine_requests())["v2"]
        for _ in range(20):
            for router in self.running.routers.values():
                reply = await self.send_chat(router)
                self.assertEqual(reply.status, 200, reply.body)
                self.assertEqual(integration.read_revision(reply), revision)
            await asyncio.sleep(0.1)
        self.assertEqual((await self.count_engine_requests())["v2"], before)
        stored = await self.wait_until(
            "the platform has the revision again",
            lambda: self._read_newest(revision),
        )
        self.assertEqual(stored["revision"], revision)
        later = await self.withdraw("v3", router_number=2)
        self.assertEqual(later, revision + 1)
        await self.wait_in_force(later)

    async def _read_newest(self, revision: int) -> Any:
        stored = await self.read_object("control", "config")
        return stored if stored["revision"] >= revision else None

    async def test_stopped_rollout_stays_stopped(self) -> None:
        mapping = integration.build_mapping(
            engines=2, roll_outs=[integration.build_roll_out(((0.5, 3_600),))]
        )
        for number, version in ((0, "v1"), (1, "v2")):
            mapping["backend_servers"][number]["serves"] = [
                f"{_MODEL}@{version}"
            ]
        await self.deploy(mapping)
        await self.wait_until("the rollout is running", self._read_decision)
        await self.running.control_emulator("platform", take_copy=True)
        await self.running.control_emulator("engine-2", error_share=1.0)
        await self.wait_until(
            "the rollout is stopped", self._send_until_stopped
        )
        decision = await self._read_decision()
        lease = await self.read_object("leases", "rollout")
        for router in self.running.routers.values():
            await self.wait_until(
                "the router has the stop",
                lambda r=router: self._reports_stop(r),
            )
        await self.running.control_emulator("platform", restore=True)
        received = (await self.count_engine_requests())["v2"]
        await self.wait_until(
            "the platform has the stop again", self._is_stopped
        )
        self.assertEqual(await self._read_decision(), decision)
        for router in (*self.running.routers.values(),) * 10:
            reply = await self.send_chat(router)
            self.assertEqual(reply.status, 200, reply.body)
        self.assertEqual((await self.count_engine_requests())["v2"], received)
        await self.wait_until(
            "a lease with a higher token is held",
            lambda: self._has_higher_token(lease["fencing"]),
        )

    async def _read_decision(self) -> Any:
        return await self.read_object("control", "rollout.next")

    async def _is_stopped(self) -> bool:
        decision = await self._read_decision()
        return decision is not None and decision["state"] == "stopped"

    async def _send_until_stopped(self) -> bool:
        for router in self.running.routers.values():
            await self.send_chat(router)
        return await self._is_stopped()

    async def _reports_stop(self, router: deployment.RunningRouter) -> bool:
        reply = await self.call_admin(router, "/v1/roll-outs")
        rows = reply.json()["roll_outs"]
        return [row["state"] for row in rows] == ["stopped"]

    async def _has_higher_token(self, token: int) -> bool:
        stored = await self.read_object("leases", "rollout")
        return stored["fencing"] > token
