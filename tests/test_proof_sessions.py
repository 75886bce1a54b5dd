"""Tests of sessions on real routers under failures (design, requirement 3)."""

import asyncio
import collections

from harness import deployment, http
from tests.builders import integration

_SESSION_HEADER = "Dragonflydyke-Session"
_PER_VERSION = 3


class SessionTest(integration.IntegrationTestCase):
    """Guards against sessions that change version or outlive their version."""

    async def test_session_stays_on_its_version(self) -> None:
        mapping = integration.build_mapping(
            roll_outs=[integration.build_roll_out(((0.5, 3_600),))]
        )
        mapping["client_accounts"][1]["versions"] = [f"{integration.MODEL}@v1"]
        await self.deploy(mapping)
        await self._wait_for_phase("running")
        self.tokens: dict[str, str] = {}
        await self._start_sessions()
        with self.subTest("an account may use the old version only"):
            await self._check_allowed_version()
        with self.subTest("the session keys are rotated"):
            await self._rotate_keys()
            await self._check_sessions()
        with self.subTest("a router is replaced and another one killed"):
            await self._replace_routers()
            await self._check_sessions()
        with self.subTest("the rollout is rolled back"):
            await self._roll_back()
            await self._check_sessions()
        with self.subTest("a token is forged or of another account"):
            await self._check_invalid_tokens()
        with self.subTest("the version is withdrawn"):
            await self._withdraw()

    async def _start_sessions(self) -> None:
        """Starts sessions through all routers until both versions have some."""
        versions: collections.Counter[str] = collections.Counter()
        while min(versions["v1"], versions["v2"]) < _PER_VERSION:
            for router in self.running.routers.values():
                reply = await self.send_chat(router, session="new")
                self.assertEqual(integration.read_code(reply), "ok")
                version = integration.read_version(reply)
                self.tokens[reply.headers[_SESSION_HEADER]] = version
                versions[version] += 1

    async def _check_sessions(self) -> None:
        """Continues each session through each router."""
        before = await self.count_engine_requests()
        expected: collections.Counter[str] = collections.Counter()
        for router in self.running.routers.values():
            replies = await asyncio.gather(
                *(
                    self.send_chat(router, session=token)
                    for token in self.tokens
                )
            )
            for reply, version in zip(
                replies, self.tokens.values(), strict=True
            ):
                self.assertEqual(integration.read_code(reply), "ok", router.vm)
                self.assertEqual(integration.read_version(reply), version)
                expected[version] += 1
        self.assertEqual(await self.count_engine_requests() - before, expected)

    async def _check_allowed_version(self) -> None:
        """Checks that a rollout gives an account no version it may not use."""
        before = await self.count_engine_requests()
        for router in self._list_routers():
            replies = await asyncio.gather(
                *(
                    self.send_chat(router, key=integration.OTHER_KEY)
                    for _ in range(10)
                ),
            )
            for reply in replies:
                self.assertEqual(integration.read_version(reply), "v1")
            rejection = await self.send_chat(
                router, f"{integration.MODEL}@v2", key=integration.OTHER_KEY
            )
            self._check_rejection(rejection, "version_not_allowed", 403)
        received = await self.count_engine_requests() - before
        self.assertEqual(received, {"v1": 30})

    async def _rotate_keys(self) -> None:
        """Rotates keys while sessions start and continue at other routers."""
        rotation = asyncio.create_task(
            self.call_admin(
                self.router(1), "/v1/session-keys/rotate", "POST", {}
            )
        )
        for _ in range(10):
            await asyncio.gather(
                *(
                    self._start_and_continue_elsewhere(r)
                    for r in self._list_routers()
                )
            )
        self.assertEqual((await rotation).status, 200)
        second_rotation = await self.call_admin(
            self.router(2), "/v1/session-keys/rotate", "POST", {}
        )
        # A second rotation soon after the first would let a key sign that some
        # routers do not have yet.
        if second_rotation.status != 200:
            self.assertEqual(
                integration.read_code(second_rotation),
                "session_keys_rotated_recently",
            )

    async def _start_and_continue_elsewhere(
        self, router: deployment.RunningRouter
    ) -> None:
        first = await self.send_chat(router, session="new")
        token = first.headers[_SESSION_HEADER]
        replies = await asyncio.gather(
            *(
                self.send_chat(other, session=token)
                for other in self._list_routers()
            )
        )
        for reply in replies:
            self.assertEqual(integration.read_code(reply), "ok")
            self.assertEqual(
                integration.read_version(reply), integration.read_version(first)
            )

    def _list_routers(self) -> list[deployment.RunningRouter]:
        return list(self.running.routers.values())

    async def _replace_routers(self) -> None:
        # The loss of the lease holder is covered by the tests of rollouts.
        holder = await self.read_lease_holder()
        others = [r for r in self.running.routers.values() if r.vm != holder]
        others[0].process.terminate()
        others[1].process.kill()
        await asyncio.gather(*(old.process.wait() for old in others))
        await asyncio.gather(
            *(
                self.running.start_router(old.vm, old.data_centre)
                for old in others
            )
        )
        await self.running.publish_vms()
        for router in self.running.routers.values():
            await self.running.wait_until_ready(router)

    async def _roll_back(self) -> None:
        await self.running.control_emulator(
            "engine-1", bad_versions=[f"{integration.MODEL}@v2"]
        )
        traffic = asyncio.create_task(self._send_until_cancelled())
        try:
            await self._wait_for_phase("stopped")
        finally:
            traffic.cancel()
            await asyncio.gather(traffic, return_exceptions=True)
        before = await self.count_engine_requests()
        for router in (*self.running.routers.values(),) * 4:
            reply = await self.send_chat(router)
            self.assertEqual(integration.read_version(reply), "v1")
        received = await self.count_engine_requests() - before
        self.assertEqual(received["v2"], 0)

    async def _send_until_cancelled(self) -> None:
        while True:
            for router in self.running.routers.values():
                await self.send_chat(router)

    async def _check_invalid_tokens(self) -> None:
        before = await self.count_engine_requests()
        token = next(iter(self.tokens))
        body, _, signature = token.rpartition(".")
        forged = (
            f"{body}.{'A' * len(signature)}",
            f"A{body[1:]}.{signature}",
            body,
            "x",
        )
        for router in self.running.routers.values():
            replies = [
                await self.send_chat(router, session=text) for text in forged
            ]
            replies.append(
                await self.send_chat(
                    router, session=token, key=integration.OTHER_KEY
                )
            )
            for reply in replies:
                self._check_rejection(reply, "session_token_invalid", 403)
        self.assertEqual(await self.count_engine_requests(), before)

    async def _withdraw(self) -> None:
        del self.running.document["roll_outs"]
        revision = await self.withdraw("v2")
        await self.wait_in_force(revision)
        before = await self.count_engine_requests()
        for router in self.running.routers.values():
            for token, version in self.tokens.items():
                reply = await self.send_chat(router, session=token)
                if version == "v1":
                    self.assertEqual(integration.read_version(reply), "v1")
                else:
                    self._check_rejection(
                        reply, "session_version_withdrawn", 409
                    )
        received = await self.count_engine_requests() - before
        self.assertEqual(received["v2"], 0)

    def _check_rejection(
        self, reply: http.HttpResponse, code: str, status: int
    ) -> None:
        self.assertEqual(
            (integration.read_code(reply), reply.status), (code, status)
        )
        self.assertEqual(reply.json()["error"]["execution"], "not run")

    async def _wait_for_phase(self, phase: str) -> None:
        for router in self.running.routers.values():
            await self.wait_until(
                f"{router.vm} has the rollout {phase}",
                lambda r=router: self._is_in_phase(r, phase),
            )

    async def _is_in_phase(
        self, router: deployment.RunningRouter, phase: str
    ) -> bool:
        reply = await self.call_admin(router, "/v1/roll-outs")
        return [r["state"] for r in reply.json()["roll_outs"]] == [phase]
