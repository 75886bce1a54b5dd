"""Requirements 2 and 10 of the design, with real routers under failure."""

import asyncio
import copy
import time

from dragonflydyke.membership import confirmations
from harness import deployment
from tests.builders import integration

_MODEL = integration.MODEL


class CutOffTest(integration.IntegrationTestCase):
    """Guards against a cut-off router that keeps an old configuration."""

    async def test_cut_off_router_gets_or_refuses(self) -> None:
        await self.deploy(
            integration.build_mapping(versions=4),
            platform_proxies=True,
            peer_proxies=True,
        )
        cut = self.router(3)
        with self.subTest("from the platform only"):
            self.running.isolate_from_platform(cut.vm)
            revision = await self.withdraw("v2")
            await self.wait_in_force(revision)
            await self._check_never_received("v2", revision)
            self.running.clear_link_faults()
        with self.subTest("from its peers only"):
            self.running.isolate_from_peers(cut.vm)
            revision = await self.withdraw("v3")
            await self.poll(
                "the cut-off router reads the revision from the platform",
                lambda: self._has_revision(cut, revision),
            )
            await self._check_never_received("v3", revision)
            refused = await self.running.try_apply(
                self.running.document, cut.admin_url
            )
            self.assertEqual(integration.read_code(refused), "no_majority")
            self.running.clear_link_faults()
            await self.wait_in_force(revision)
        with self.subTest("from both"):
            await self._check_isolated(cut)

    async def _check_isolated(self, cut: deployment.RunningRouter) -> None:
        self.running.isolate_from_platform(cut.vm)
        self.running.isolate_from_peers(cut.vm)
        revision = await self.withdraw("v4")
        await self.poll(
            "the isolated router refuses", lambda: self._refuses(cut, "v4")
        )
        before = await self.count_received()
        for version in ("v1", "v4") * 5:
            reply = await self.ask(cut, f"{_MODEL}@{version}")
            self.assertEqual(integration.read_code(reply), "not_confirmed")
            self.assertEqual(reply.json()["error"]["execution"], "not run")
        ready = await self.call_admin(cut, "/health/ready")
        self.assertEqual(ready.status, 503)
        refused = await self.running.try_apply(
            self.running.document, cut.admin_url
        )
        self.assertEqual(refused.status, 503, refused.body)
        self.assertEqual(before, await self.count_received())
        self.running.clear_link_faults()
        reply = await self.poll(
            "the healed router serves", lambda: self._serve(cut, "v1")
        )
        self.assertGreaterEqual(integration.read_revision(reply), revision)
        await self.wait_in_force(revision)
        await self._check_never_received("v4", revision)

    async def _check_never_received(self, version: str, revision: int) -> None:
        """Checks that no router sends the withdrawn version a request."""
        before = await self.count_received()
        for router in self.running.routers.values():
            if await self.read_revision(router) < revision:
                continue
            reply = await self.ask(router, f"{_MODEL}@{version}")
            self.assertNotEqual(reply.status, 200, router.vm)
            reply = await self.ask(router, f"{_MODEL}@v1")
            self.assertEqual(integration.read_code(reply), "ok", router.vm)
            self.assertGreaterEqual(integration.read_revision(reply), revision)
        after = await self.count_received()
        self.assertEqual(after[version], before[version])

    async def _has_revision(
        self, router: deployment.RunningRouter, revision: int
    ) -> bool:
        return await self.read_revision(router) >= revision

    async def _refuses(
        self, router: deployment.RunningRouter, version: str
    ) -> bool:
        reply = await self.ask(router, f"{_MODEL}@{version}")
        return integration.read_code(reply) == "not_confirmed"

    async def _serve(
        self, router: deployment.RunningRouter, version: str
    ) -> object:
        reply = await self.ask(router, f"{_MODEL}@{version}")
        return reply if reply.status == 200 else None


class PropagationTest(integration.IntegrationTestCase):
    """Guards against a revision that is lost, accepted twice or reverted."""

    async def test_accepted_revisions(self) -> None:
        await self.deploy(integration.build_mapping(versions=6))
        with self.subTest("a request under an older revision after wait"):
            await self._check_order()
        with self.subTest("two operators change the same base"):
            await self._check_two_operators()
        with self.subTest("the answer to the write is lost"):
            await self._check_lost_answer()
        with self.subTest("the platform answers reads from an old state"):
            await self._check_stale_reads()

    async def _check_order(self) -> None:
        durations_s = []
        for number in (2, 3, 4):
            version = f"v{number}"
            traffic = asyncio.create_task(self._send_until_cancelled(version))
            through = number - 1
            started_s = time.monotonic()
            revision = await self.withdraw(version, through)
            waiting_at = number % 3 + 1
            await self.wait_in_force(revision, waiting_at)
            durations_s.append(time.monotonic() - started_s)
            traffic.cancel()
            await asyncio.gather(traffic, return_exceptions=True)
            await self._check_present(version, revision)
        print(
            "from apply until wait returned:",
            ", ".join(f"{seconds:.2f} s" for seconds in durations_s),
        )

    async def _check_stale_reads(self) -> None:
        await self.running.control_emulator("platform", stale_reads=True)
        revision = await self.withdraw("v5")
        await self.wait_in_force(revision)
        # Each router reads the old state again after it adopted the new one;
        # the second read began after the first was counted.
        for router in self.running.routers.values():
            before = await self._count_reads(router)
            await self.poll(
                f"{router.vm} reads a stale list",
                lambda r=router, b=before: self._has_read_twice(r, b),
            )
        await self._check_present("v5", revision)
        await self.running.control_emulator("platform", stale_reads=False)
        revision = await self.withdraw("v6", 2)
        await self.wait_in_force(revision)
        await self._check_present("v6", revision)

    async def _count_reads(self, router: deployment.RunningRouter) -> int:
        refused = await self.count(router, "poll.stale_read")
        return refused + await self.count(router, "poll.confirmed")

    async def _has_read_twice(
        self, router: deployment.RunningRouter, before: int
    ) -> bool:
        return await self._count_reads(router) >= before + 2

    async def _send_until_cancelled(self, version: str) -> None:
        while True:
            await asyncio.gather(
                *(
                    self.ask(router, f"{_MODEL}@{version}")
                    for router in self.running.routers.values()
                )
            )

    async def _check_present(self, version: str, revision: int) -> None:
        before = await self.count_received()
        for router in (*self.running.routers.values(),) * 3:
            reply = await self.ask(router)
            self.assertEqual(integration.read_code(reply), "ok")
            self.assertGreaterEqual(integration.read_revision(reply), revision)
            reply = await self.ask(router, f"{_MODEL}@{version}")
            self.assertNotEqual(reply.status, 200)
        after = await self.count_received()
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

    async def _check_lost_answer(self) -> None:
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
        again = await self._apply(2, base, "operator")
        self.assertEqual(integration.read_code(again), "revision_conflict")

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
    """Guards against old knowledge being trusted, and needless stops."""

    async def test_woken_router_and_platform_outage(self) -> None:
        # A router counts for rule B once it has run for 10 s; the first part
        # takes most of that time.
        await self.deploy(integration.build_mapping(versions=3))
        with self.subTest("a woken router serves a version withdrawn since"):
            await self._check_woken_router()
        with self.subTest("the outage stops all service or lets a change in"):
            await self._check_outage()

    async def _check_woken_router(self) -> None:
        frozen = self.router(3)
        reply = await self.ask(frozen, f"{_MODEL}@v2")
        self.assertEqual(integration.read_code(reply), "ok")
        before = await self.count_received()
        frozen.process.suspend()
        frozen_s = time.monotonic()
        await self.withdraw("v2")
        waiting = [
            asyncio.create_task(self.ask(frozen, f"{_MODEL}@v2"))
            for _ in range(8)
        ]
        await self.poll(
            "any confirmation from before the freeze is too old",
            lambda: self._has_passed(
                frozen_s + confirmations.CONFIRMATION_MAX_AGE_S
            ),
        )
        frozen.process.resume()
        replies = await asyncio.gather(*waiting)
        codes = {integration.read_code(reply) for reply in replies}
        self.assertNotIn("ok", codes)
        after = await self.count_received()
        self.assertEqual(after["v2"], before["v2"], codes)
        print("first answers of the woken router:", ", ".join(sorted(codes)))

    async def _has_passed(self, time_s: float) -> bool:
        # The reports of the frozen router do not tell the age of its newest
        # confirmation, which can be newer than its last report.
        return time.monotonic() > time_s

    async def _check_outage(self) -> None:
        revision = await self.read_revision(self.router(1))
        await self.wait_in_force(revision)
        await self.running.control_emulator("platform", outage=True)
        for router in self.running.routers.values():
            await self.poll(
                f"{router.vm} serves by rule B",
                lambda r=router: self.count(r, "permit.platform_outage"),
            )
        before = await self.count_received()
        for router in self.running.routers.values():
            reply = await self.poll(
                f"{router.vm} serves", lambda r=router: self._serve(r)
            )
            self.assertEqual(integration.read_revision(reply), revision)
            refused = await self.running.try_apply(
                self.running.document, router.admin_url
            )
            self.assertEqual(refused.status, 503, refused.body)
            await self.ask(router, f"{_MODEL}@v2")
        await self._check_start_in_outage(revision)
        after = await self.count_received()
        self.assertEqual(after["v2"], before["v2"])
        await self.running.control_emulator("platform", outage=False)
        changed = copy.deepcopy(self.running.document)
        integration.set_version_state(changed, "v3", "retiring")
        accepted = await self.running.apply(changed, self.router(2))
        self.assertEqual(accepted, revision + 1)

    async def _check_start_in_outage(self, revision: int) -> None:
        """A router without the platform takes the state from its seeds."""
        started = await self.running.start_router("router-4", "cartago-b")
        reply = await self.poll(
            "the new router serves", lambda: self._serve(started)
        )
        self.assertEqual(integration.read_revision(reply), revision)
        refused = await self.ask(started, f"{_MODEL}@v2")
        self.assertNotEqual(refused.status, 200)

    async def _serve(self, router: deployment.RunningRouter) -> object:
        reply = await self.ask(router)
        return reply if reply.status == 200 else None
