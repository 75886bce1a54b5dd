"""Tests of rollouts on real routers: exposure, decisions, loss of the lease."""

import asyncio
from typing import Any

from harness import deployment
from tests.builders import integration

_MODEL = integration.MODEL
_MIN_SAMPLES = 5


def _build_mapping(
    steps: tuple[tuple[float, float], ...] = ((0.5, 3_600),),
) -> dict[str, Any]:
    """Returns a configuration whose new version has a separate engine."""
    mapping = integration.build_mapping(
        engines=3,
        roll_outs=[integration.build_roll_out(steps, _MIN_SAMPLES)],
    )
    # engine-1 checks fencing tokens, engine-2 ignores them.
    for number, version in ((0, "v1"), (1, "v1"), (2, "v2")):
        mapping["backend_servers"][number]["serves"] = [f"{_MODEL}@{version}"]
    return mapping


class LeaseHolderTest(integration.IntegrationTestCase):
    """Guards against conflicting decisions and stale orders of lease holders.

    A lease holder that is suspended as a process continues later, after another
    router has taken the lease over.
    """

    async def test_frozen_holder_and_bad_version(self) -> None:
        await self.deploy(_build_mapping())
        self.decisions: list[dict[str, Any]] = []
        await self.wait_until("the rollout is running", self._read_decision)
        lease = await self.read_object("leases", "rollout")
        frozen = self.running.routers[await self.read_lease_holder()]
        live = [r for r in self.running.routers.values() if r is not frozen]
        frozen.process.suspend()
        watch = asyncio.create_task(self._watch_decisions())
        await self.running.control_emulator("engine-3", error_share=1.0)
        await self._expose(live)
        await self.wait_until("the rollout is stopped", self._is_stopped)
        taken = await self.read_object("leases", "rollout")
        self.assertGreater(
            taken["fencing"],
            lease["fencing"],
            f"frozen {frozen.vm}, lease before {lease}, now {taken},"
            f" decision {await self._read_decision()}",
        )
        frozen.process.resume()
        await self.wait_until(
            "the resumed router reports the stop",
            lambda: self._reports_stop(frozen),
        )
        await self._check_orders(taken["fencing"])
        before = await self.count_engine_requests()
        for router in (*self.running.routers.values(),) * 4:
            reply = await self.send_chat(router)
            self.assertEqual(integration.read_version(reply), "v1")
        received = await self.count_engine_requests() - before
        self.assertEqual(received["v2"], 0)
        watch.cancel()
        await asyncio.gather(watch, return_exceptions=True)
        self._check_decisions(taken["fencing"])

    async def _expose(self, live: list[deployment.RunningRouter]) -> None:
        """Sends until each router suspends exposure, before any decision.

        Each router has one request at a time and counts a failure before the
        next request, so the number of failures is exact.
        """
        before = await self.count_engine_requests()
        await asyncio.gather(*(self._fail_until_suspended(r) for r in live))
        received = await self.count_engine_requests() - before
        print("requests on the bad version:", received["v2"])
        self.assertEqual(received["v2"], len(live) * _MIN_SAMPLES)
        after = await self.count_engine_requests()
        await asyncio.gather(*(self.send_chat(router) for router in live * 10))
        received = await self.count_engine_requests() - after
        self.assertEqual(received["v2"], 0)

    async def _fail_until_suspended(
        self, router: deployment.RunningRouter
    ) -> None:
        failures = 0
        while failures < _MIN_SAMPLES:
            failures += (await self.send_chat(router)).status != 200

    async def _read_decision(self) -> Any:
        return await self.read_object("control", "rollout.next")

    async def _is_stopped(self) -> bool:
        return (await self._read_decision())["state"] == "stopped"

    async def _reports_stop(self, router: deployment.RunningRouter) -> bool:
        reply = await self.call_admin(router, "/v1/roll-outs")
        rows = reply.json()["roll_outs"]
        return [row["state"] for row in rows] == ["stopped"]

    async def _watch_decisions(self) -> None:
        while True:
            decision = await self._read_decision()
            if decision not in self.decisions:
                self.decisions.append(decision)
            await asyncio.sleep(0.02)

    def _check_decisions(self, fencing: int) -> None:
        """Checks that exactly one final decision follows the first one."""
        states = [decision["state"] for decision in self.decisions]
        self.assertEqual(states, ["running", "stopped"])
        self.assertEqual(self.decisions[1]["fencing"], fencing)

    async def _check_orders(self, fencing: int) -> None:
        """Checks that only orders of the current lease holder are executed.

        Unloads the versions of engines, which the lease holder then loads
        again, and sends a stale order: an engine that checks fencing tokens
        rejects it, one that ignores them executes it.
        """
        for name, version in (("engine-1", "v1"), ("engine-2", "v1")):
            await self.running.control_emulator(name, versions=[])
            state = await self.wait_until(
                f"{name} has its version again",
                lambda n=name, v=version: self._read_loaded(n, v),
            )
            self.assertEqual(state["highest_fencing"], fencing)
            tokens = [order["fencing"] for order in state["orders"]]
            self.assertEqual(tokens, sorted(tokens))
            stale = {
                "order": "load",
                "version": f"{_MODEL}@{version}",
                "fencing": fencing - 1,
            }
            reply = await self.running.http.call(
                "POST",
                f"{self.running.backend_urls[name]}/v1/orders",
                body=stale,
            )
            expected = 409 if name == "engine-1" else 200
            self.assertEqual(reply.status, expected, name)

    async def _read_loaded(self, name: str, version: str) -> Any:
        state = await self.running.control_emulator(name)
        return state if f"{_MODEL}@{version}" in state["versions"] else None


class HalfFinishedTest(integration.IntegrationTestCase):
    """Guards against rollouts left unfinished when the lease holder dies."""

    async def test_killed_holder(self) -> None:
        await self.deploy(_build_mapping(((0.5, 1.0), (1.0, 1.0))))
        await self.wait_until("the rollout is running", self._read_decision)
        lease = await self.read_object("leases", "rollout")
        holder = self.running.routers[await self.read_lease_holder()]
        holder.process.kill()
        self.live = [
            r for r in self.running.routers.values() if r is not holder
        ]
        decision = await self.wait_until(
            "the rollout is finished", self._send_and_read_final_decision
        )
        self.assertIn(decision["decided_by"], [r.vm for r in self.live])
        self.assertGreater(decision["fencing"], lease["fencing"])
        for router in self.live:
            await self.wait_until(
                "new requests get the new version",
                lambda r=router: self._gets_new_version(r),
            )
        self.assertEqual(await self._read_decision(), decision)

    async def _read_decision(self) -> Any:
        return await self.read_object("control", "rollout.next")

    async def _send_and_read_final_decision(self) -> Any:
        """Sends the requests that the next lease holder needs to decide."""
        await asyncio.gather(*(self.send_chat(router) for router in self.live))
        decision = await self._read_decision()
        return decision if decision["state"] == "finished" else None

    async def _gets_new_version(self, router: deployment.RunningRouter) -> bool:
        reply = await self.send_chat(router)
        return integration.read_version(reply) == "v2"
