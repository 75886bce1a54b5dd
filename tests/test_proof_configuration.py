"""Tests of requirements 2 and 10 of the design, with real processes.

They inject network partitions, lost responses, stale reads and outages.
"""

import asyncio
import copy
import time

from dragonflydyke.membership import confirmations
from harness import deployment
from tests.builders import integration

_MODEL = integration.MODEL


class PartitionTest(integration.IntegrationTestCase):
    """Guards against a partitioned router that serves with an old revision."""

    async def test_partitioned_router_updates_or_rejects(self) -> None:
        await self.deploy(
            integration.build_mapping(versions=4),
            platform_proxies=True,
            peer_proxies=True,
        )
        partitioned = self.router(3)
        with self.subTest("from the platform only"):
            self.running.isolate_from_platform(partitioned.vm)
            revision = await self.withdraw("v2")
            await self.wait_in_force(revision)
            await self._check_never_received("v2", revision)
            self.running.clear_link_faults()
        with self.subTest("from its peers only"):
            self.running.isolate_from_peers(partitioned.vm)
            revision = await self.withdraw("v3")
            await self.wait_until(
                "the partitioned router reads the revision from the platform",
                lambda: self._has_revision(partitioned, revision),
            )
            await self._check_never_received("v3", revision)
            rejected = await self.running.try_apply(
                self.running.document, partitioned.admin_url
            )
            self.assertEqual(integration.read_code(rejected), "no_majority")
            self.running.clear_link_faults()
            await self.wait_in_force(revision)
        with self.subTest("from both"):
            await self._check_isolated_router(partitioned)

    async def _check_isolated_router(
        self, partitioned: deployment.RunningRouter
    ) -> None:
        self.running.isolate_from_platform(partitioned.vm)
        self.running.isolate_from_peers(partitioned.vm)
        revision = await self.withdraw("v4")
        await self.wait_until(
            "the isolated router rejects requests",
            lambda: self._rejects(partitioned, "v4"),
        )
        before = await self.count_engine_requests()
        for version in ("v1", "v4") * 5:
            reply = await self.send_chat(partitioned, f"{_MODEL}@{version}")
            self.assertEqual(integration.read_code(reply), "not_confirmed")
            self.assertEqual(reply.json()["error"]["execution"], "not run")
        ready = await self.call_admin(partitioned, "/health/ready")
        self.assertEqual(ready.status, 503)
        rejected = await self.running.try_apply(
            self.running.document, partitioned.admin_url
        )
        self.assertEqual(rejected.status, 503, rejected.body)
        self.assertEqual(before, await self.count_engine_requests())
        self.running.clear_link_faults()
        reply = await self.wait_until(
            "the reconnected router serves",
            lambda: self._try_chat(partitioned, "v1"),
        )
        self.assertGreaterEqual(integration.read_revision(reply), revision)
        await self.wait_in_force(revision)
        await self._check_never_received("v4", revision)

    async def _check_never_received(self, version: str, revision: int) -> None:
        """Checks that no router routes a request to the withdrawn version."""
        before = await self.count_engine_requests()
        for router in self.running.routers.values():
            if await self.read_revision(router) < revision:
                continue
            reply = await self.send_chat(router, f"{_MODEL}@{version}")
            self.assertNotEqual(reply.status, 200, router.vm)
            reply = await self.send_chat(router, f"{_MODEL}@v1")
            self.assertEqual(integration.read_code(reply), "ok", router.vm)
            self.assertGreaterEqual(integration.read_revision(reply), revision)
        after = await self.count_engine_requests()
        self.assertEqual(after[version], before[version])

    async def _has_revision(
        self, router: deployment.RunningRouter, revision: int
    ) -> bool:
        return await self.read_revision(router) >= revision

    async def _rejects(
        self, router: deployment.RunningRouter, version: str
    ) -> bool:
        reply = await self.send_chat(router, f"{_MODEL}@{version}")
        return integration.read_code(reply) == "not_confirmed"

    async def _try_chat(
        self, router: deployment.RunningRouter, version: str
    ) -> object:
        reply = await self.send_chat(router, f"{_MODEL}@{version}")
        return reply if reply.status == 200 else None


class PropagationTest(integration.IntegrationTestCase):
    """Guards against revisions that are lost, applied twice or reverted."""

    async def test_accepted_revisions_stay_in_force(self) -> None:
        await self.deploy(integration.build_mapping(versions=6))
        with self.subTest(
            "a request is served with an older revision after wait"
        ):
            await self._check_order_after_wait()
        with self.subTest("two operators change the same base"):
            await self._check_two_operators()
        with self.subTest("the response to the write is lost"):
            await self._check_lost_response()
        with self.subTest("the platform serves stale reads"):
            await self._check_stale_reads()

    async def _check_order_after_wait(self) -> None:
        durations_s = []
        for number in (2, 3, 4):
            version = f"v{number}"
            traffic = asyncio.create_task(self._send_until_cancelled(version))
            applying_router = number - 1
            started_s = time.monotonic()
            revision = await self.withdraw(version, applying_router)
            waiting_router = number % 3 + 1
            await self.wait_in_force(revision, waiting_router)
            durations_s.append(time.monotonic() - started_s)
            traffic.cancel()
            await asyncio.gather(traffic, return_exceptions=True)
            await self._check_revision_in_use(version, revision)
        print(
            "from apply until wait returned:",
            ", ".join(f"{seconds:.2f} s" for seconds in durations_s),
        )

    async def _check_stale_reads(self) -> None:
        await self.running.control_emulator("platform", stale_reads=True)
        revision = await self.withdraw("v5")
        await self.wait_in_force(revision)
        # Ensures that each router reads the old state after it has adopted the
        # new one: of two counted reads, the second started after the adoption.
        for router in self.running.routers.values():
            before = await self._count_reads(router)
            await self.wait_until(
                f"{router.vm} has read a stale list",
                lambda r=router, b=before: self._has_read_twice(r, b),
            )
        await self._check_revision_in_use("v5", revision)
        await self.running.control_emulator("platform", stale_reads=False)
        revision = await self.withdraw("v6", 2)
        await self.wait_in_force(revision)
        await self._check_revision_in_use("v6", revision)

    async def _count_reads(self, router: deployment.RunningRouter) -> int:
        rejected = await self.read_counter(router, "poll.stale_read")
        return rejected + await self.read_counter(router, "poll.confirmed")

    async def _has_read_twice(
        self, router: deployment.RunningRouter, before: int
    ) -> bool:
        return await self._count_reads(router) >= before + 2

    async def _send_until_cancelled(self, version: str) -> None:
        while True:
            await asyncio.gather(
                *(
                    self.send_chat(router, f"{_MODEL}@{version}")
                    for router in self.running.routers.values()
                )
            )

    async def _check_revision_in_use(self, version: str, revision: int) -> None:
        before = await self.count_engine_requests()
        for router in (*self.running.routers.values(),) * 3:
            reply = await self.send_chat(router)
            self.assertEqual(integration.read_code(reply), "ok")
            self.assertGreaterEqual(integration.read_revision(reply), revision)
            reply = await self.send_chat(router, f"{_MODEL}@{version}")
            self.assertNotEqual(reply.status, 200)
        after = await self.count_engine_requests()
        self.assertEqual(after[version], before[version])

    async def _check_two_operators(self) -> None:
        revision = await self.read_revision(self.router(1))
        accepted = {}
        for attempt in range(4):
            replies = await asyncio.gather(
                self._apply(1, revision, f"first-{attempt}"),
                self._apply(2, revision, f"second-{attempt}"),
            )
            statuses = sorted(reply.status for reply in replies)
            self.assertEqual(statuses, [200, 409], replies)
            winner = next(r for r in replies if r.status == 200).json()
            self.assertEqual(winner["revision"], revision + 1)
            revision = winner["revision"]
            accepted[revision] = winner["change_id"]
        await self._check_history(accepted)

    async def _check_lost_response(self) -> None:
        base = await self.read_revision(self.router(1))
        await self.running.control_emulator("platform", lose_answers=-1)
        reply = await self._apply(1, base, "operator")
        lost = (
            await self.running.control_emulator("platform", lose_answers=0)
        )["calls"]
        self.assertGreater(lost["lost_answers"], 0)
        self.assertEqual(reply.status, 200, reply.body)
        self.assertEqual(reply.json()["revision"], base + 1)
        await self.wait_in_force(base + 1, 2)
        await self._check_history({base + 1: reply.json()["change_id"]})
        repeated = await self._apply(2, base, "operator")
        self.assertEqual(integration.read_code(repeated), "revision_conflict")

    async def _apply(self, number: int, base: int, name: str) -> object:
        return await self.call_admin(
            self.router(number),
            f"/v1/configuration?applied_by={name}&base_revision={base}",
            "POST",
            self.running.document,
        )

    async def _check_history(self, accepted: dict[int, str]) -> None:
        reply = await self.call_admin(self.router(3), "/v1/history")
        rows = reply.json()["revisions"]
        numbers = sorted(row["revision"] for row in rows)
        self.assertEqual(numbers, list(range(1, max(accepted) + 1)))
        stored = {row["revision"]: row["change_id"] for row in rows}
        self.assertEqual(accepted, {n: stored[n] for n in accepted})


class OutageTest(integration.IntegrationTestCase):
    """Guards against use of outdated confirmations and needless downtime."""

    async def test_resumed_router_and_platform_outage(self) -> None:
        # A router counts for rule B only after it has run for 10 s. The first
        # part of the test takes most of that time.
        await self.deploy(integration.build_mapping(versions=3))
        with self.subTest(
            "a resumed router serves a version withdrawn during the freeze"
        ):
            await self._check_resumed_router()
        with self.subTest(
            "the outage interrupts service or a change is accepted in it"
        ):
            await self._check_outage()

    async def _check_resumed_router(self) -> None:
        frozen = self.router(3)
        reply = await self.send_chat(frozen, f"{_MODEL}@v2")
        self.assertEqual(integration.read_code(reply), "ok")
        before = await self.count_engine_requests()
        frozen.process.suspend()
        frozen_s = time.monotonic()
        await self.withdraw("v2")
        requests = [
            asyncio.create_task(self.send_chat(frozen, f"{_MODEL}@v2"))
            for _ in range(8)
        ]
        await self.wait_until(
            "all confirmations from before the freeze have expired",
            lambda: self._has_passed(
                frozen_s + confirmations.CONFIRMATION_MAX_AGE_S
            ),
        )
        frozen.process.resume()
        replies = await asyncio.gather(*requests)
        codes = {integration.read_code(reply) for reply in replies}
        self.assertNotIn("ok", codes)
        after = await self.count_engine_requests()
        self.assertEqual(after["v2"], before["v2"], codes)
        print(
            "first responses of the resumed router:",
            ", ".join(sorted(codes)),
        )

    async def _has_passed(self, time_s: float) -> bool:
        # The test waits by the clock, because the newest confirmation of the
        # frozen router can be newer than the one in its last report.
        return time.monotonic() > time_s

    async def _check_outage(self) -> None:
        revision = await self.read_revision(self.router(1))
        await self.wait_in_force(revision)
        await self.running.control_emulator("platform", outage=True)
        for router in self.running.routers.values():
            await self.wait_until(
                f"{router.vm} serves by rule B",
                lambda r=router: self.read_counter(r, "permit.platform_outage"),
            )
        before = await self.count_engine_requests()
        for router in self.running.routers.values():
            reply = await self.wait_until(
                f"{router.vm} serves", lambda r=router: self._try_chat(r)
            )
            self.assertEqual(integration.read_revision(reply), revision)
            rejected = await self.running.try_apply(
                self.running.document, router.admin_url
            )
            self.assertEqual(rejected.status, 503, rejected.body)
            await self.send_chat(router, f"{_MODEL}@v2")
        await self._check_start_in_outage(revision)
        after = await self.count_engine_requests()
        self.assertEqual(after["v2"], before["v2"])
        await self.running.control_emulator("platform", outage=False)
        changed = copy.deepcopy(self.running.document)
        integration.set_version_state(changed, "v3", "retiring")
        accepted = await self.running.apply(changed, self.router(2))
        self.assertEqual(accepted, revision + 1)

    async def _check_start_in_outage(self, revision: int) -> None:
        """Checks that a new router fetches the state from its seed peers."""
        started = await self.running.start_router("router-4", "cartago-b")
        reply = await self.wait_until(
            "the new router serves", lambda: self._try_chat(started)
        )
        self.assertEqual(integration.read_revision(reply), revision)
        rejected = await self.send_chat(started, f"{_MODEL}@v2")
        self.assertNotEqual(rejected.status, 200)

    async def _try_chat(self, router: deployment.RunningRouter) -> object:
        reply = await self.send_chat(router)
        return reply if reply.status == 200 else None
