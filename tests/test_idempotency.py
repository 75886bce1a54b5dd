"""Tests of claims of non-idempotent calls."""

import asyncio
import random
from collections.abc import Coroutine
from typing import Any, TypeVar

import hypothesis
from hypothesis import strategies

from dragonflydyke import errors, metrics, objects
from dragonflydyke.idempotency import claims, held_claims, model
from tests.builders import faulty_objects, virtual_loop

_TIMEOUT_S = 10.0
_RANDOM_RUNS = 6
_Result = TypeVar("_Result")


class _StaleReadPlatform(faulty_objects.SharedPlatform):
    """Platform whose first read does not return the last write."""

    is_next_read_stale = True

    async def get(self, kind: str, name: str) -> objects.StoredObject | None:
        if self.is_next_read_stale:
            self.is_next_read_stale = False
            return None
        return await super().get(kind, name)


class _OutagePlatform(faulty_objects.SharedPlatform):
    """Platform that becomes unavailable at the first read."""

    fails_at_read = True

    async def get(self, kind: str, name: str) -> objects.StoredObject | None:
        if self.fails_at_read:
            self.available = False
        return await super().get(kind, name)


class _ClaimsTestCase(virtual_loop.VirtualTimeTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.platform = faulty_objects.SharedPlatform()
        self.counters = metrics.Counters()

    def build_registry(self, seed: int = 0) -> claims.ClaimRegistry:
        """Returns the claim registry of a simulated router."""
        return claims.ClaimRegistry(
            faulty_objects.FaultyObjectStore(self.platform, seed),
            f"vm-{seed}",
            self.counters,
            clock_ms=lambda: int(self.loop.time() * 1_000),
            generator=random.Random(seed),
        )

    async def run_for(
        self, work: Coroutine[Any, Any, _Result], seconds: float = 1.0
    ) -> _Result:
        """Returns the result of work that must end within virtual seconds."""
        task = asyncio.create_task(work)
        await self.loop.advance(seconds)
        self.assertTrue(task.done())
        return task.result()

    async def claim(
        self, registry: claims.ClaimRegistry, digest: str = "d"
    ) -> model.Claim:
        """Claims a call, which is the same one each time."""
        return await self.run_for(
            registry.claim("a", "labels", "print", "key", digest, _TIMEOUT_S)
        )

    async def check_claim_fails(
        self, registry: claims.ClaimRegistry, code: str, digest: str = "d"
    ) -> errors.DragonflydykeError:
        """Claims the same call, which must fail, and returns the error."""
        with self.assertRaises(errors.DragonflydykeError) as caught:
            await self.claim(registry, digest)
        self.assertEqual(caught.exception.code, code)
        return caught.exception


class ClaimTest(_ClaimsTestCase):
    """Guards against calls made twice and wrong statements of execution."""

    async def test_second_client_gets_stored_response(self) -> None:
        for body, expected, status in (
            (b"\x00label", b"\x00label", 201),
            (b"x" * 65_536, b"x" * 65_536, 201),
            (b"x" * 65_537, b"", 200),
        ):
            with self.subTest(size=len(body)):
                self.platform = faulty_objects.SharedPlatform()
                registry, other = self.build_registry(0), self.build_registry(1)
                claim = await self.claim(registry)
                self.assertIsNone(claim.replay)
                error = await self.check_claim_fails(other, "call_in_progress")
                self.assertEqual(error.execution, errors.Execution.UNKNOWN)
                self.assertGreater(error.retry_after_s, 0)
                await registry.start_dispatch(claim, self.loop.time() + 1)
                await self.run_for(registry.finish(claim, 201, "a/b", body))
                replay = (await self.claim(other)).replay
                self.assertEqual(
                    replay,
                    model.StoredResponse(
                        status, "a/b", expected, bool(expected)
                    ),
                )
                error = await self.check_claim_fails(
                    other, "idempotency_key_reused", "e"
                )
                self.assertEqual(error.status, 422)

    async def test_outcome_is_unknown_if_claim_holder_dies(self) -> None:
        await self.claim(self.build_registry(0))
        await self.check_claim_fails(
            self.build_registry(1), "idempotency_key_reused", "e"
        )
        await self.loop.advance(_TIMEOUT_S + claims.CLAIM_HOLDER_GRACE_S)
        error = await self.check_claim_fails(
            self.build_registry(1), "call_outcome_unknown"
        )
        self.assertEqual(error.execution, errors.Execution.UNKNOWN)
        self.assertIsNone(error.retry_after_s)

    async def test_response_is_stored_after_a_restore(self) -> None:
        """The call would be made again, as the platform lost its claim."""
        for has_claim in (False, True):
            with self.subTest(has_claim=has_claim):
                self.platform = faulty_objects.SharedPlatform()
                registry, other = self.build_registry(0), self.build_registry(1)
                copy = self.platform.store.take_copy()
                claim = await self.claim(registry)
                if has_claim:
                    copy = self.platform.store.take_copy()
                await registry.start_dispatch(claim, self.loop.time() + 1)
                self.platform.store.restore(copy)
                is_stored = await self.run_for(
                    registry.finish(claim, 201, "a/b", b"label")
                )
                self.assertTrue(is_stored)
                replay = (await self.claim(other)).replay
                self.assertEqual(replay.body, b"label")

    async def test_lost_claims_are_repeated_after_a_restore(self) -> None:
        """The same calls, sent again, would run a second time."""
        registry, other = self.build_registry(0), self.build_registry(1)
        copy = self.platform.store.take_copy()
        claim = await self.claim(registry)
        await registry.start_dispatch(claim, self.loop.time() + 1)
        self.platform.store.restore(copy)
        await self.run_for(registry.repeat_claims())
        await self.check_claim_fails(other, "call_in_progress")
        await self.run_for(registry.finish(claim, 201, "a/b", b"label"))
        self.platform.store.restore(copy)
        await self.run_for(registry.repeat_claims())
        replay = (await self.claim(other)).replay
        self.assertEqual(replay.body, b"label")

    async def test_claims_are_repeated_in_a_later_era(self) -> None:
        registry = self.build_registry(0)
        copy = self.platform.store.take_copy()
        registry.follow_version(self.platform.store.version)
        await self.claim(registry)
        self.platform.store.restore(copy)
        registry.follow_version(self.platform.store.version)
        await self.loop.advance(1.0)
        found = await self.platform.list(claims.CALLS_KIND)
        self.assertEqual(len(found.objects), 1)

    async def test_repeated_claims_are_bounded(self) -> None:
        registry = self.build_registry(0)
        copy = self.platform.store.take_copy()
        for number in range(held_claims.MAX_HELD_CLAIMS + 1):
            claim = await registry.claim(
                "a", "labels", "print", f"k{number}", "d", _TIMEOUT_S
            )
            if number % 2:
                await registry.abandon(claim)
        self.platform.store.restore(copy)
        await registry.repeat_claims()
        found = await self.platform.list(claims.CALLS_KIND)
        self.assertEqual(
            len(found.objects), held_claims.MAX_HELD_CLAIMS // 2 + 1
        )
        await self.loop.advance(held_claims.HELD_S + 1.0, step_s=1.0)
        self.platform.store.restore(copy)
        await registry.repeat_claims()
        found = await self.platform.list(claims.CALLS_KIND)
        self.assertEqual(found.objects, ())

    async def test_claim_of_another_call_is_kept_after_a_restore(self) -> None:
        """The response of the first call is delivered all the same."""
        registry, other = self.build_registry(0), self.build_registry(1)
        copy = self.platform.store.take_copy()
        claim = await self.claim(registry)
        await registry.start_dispatch(claim, self.loop.time() + 1)
        self.platform.store.restore(copy)
        second = await self.claim(other)
        self.assertIsNone(second.replay)
        await self.run_for(registry.finish(claim, 201, "a/b", b"first"))
        self.assertEqual(self.counters.total("claim.superseded"), 1)
        await other.start_dispatch(second, self.loop.time() + 1)
        await self.run_for(other.finish(second, 201, "a/b", b"second"))
        replay = (await self.claim(registry)).replay
        self.assertEqual(replay.body, b"second")

    async def test_abandoned_call_does_not_block_its_key_after_a_restore(
        self,
    ) -> None:
        registry = self.build_registry(0)
        claim = await self.claim(registry)
        self.platform.store.restore(self.platform.store.take_copy())
        self.assertTrue(await self.run_for(registry.abandon(claim)))
        self.assertIsNone((await self.claim(registry)).replay)

    async def test_lost_response_to_create(self) -> None:
        self.platform.responses_to_lose = 1
        claim = await self.claim(self.build_registry(0))
        self.assertIsNone(claim.replay)
        self.assertGreater(claim.version, 0)
        await self.check_claim_fails(self.build_registry(1), "call_in_progress")

    async def test_conflict_with_own_claim(self) -> None:
        # The create takes effect, but its response is lost and the read after
        # it is stale. The second create then conflicts with the first.
        self.platform = _StaleReadPlatform()
        self.platform.responses_to_lose = 1
        claim = await self.claim(self.build_registry(0))
        self.assertIsNone(claim.replay)
        self.assertFalse(self.platform.is_next_read_stale)

    async def test_rejected_call_does_not_block_its_key(self) -> None:
        # The create takes effect, and then the platform becomes unavailable.
        platform = self.platform = _OutagePlatform()
        platform.responses_to_lose = 1
        registry = self.build_registry(0)
        error = await self.check_claim_fails(registry, "platform_unavailable")
        self.assertEqual(error.execution, errors.Execution.NOT_RUN)
        self.assertEqual(len(platform.store.list("calls").objects), 1)
        await self.loop.advance(60.0)
        platform.fails_at_read, platform.available = False, True
        await self.loop.advance(11.0)
        self.assertIsNone((await self.claim(self.build_registry(1))).replay)
        await self.loop.advance(30.0)
        self.assertEqual(registry.count_pending_writes(), 0)
        await self.check_claim_fails(self.build_registry(2), "call_in_progress")

    async def test_cancelled_claim_does_not_block_its_key(self) -> None:
        self.platform.latency_s = 0.5
        work = self.build_registry(0).claim(
            "a", "labels", "print", "key", "d", 1.0
        )
        task = asyncio.create_task(work)
        await self.loop.advance(0.2)
        task.cancel()
        await self.loop.advance(30.0)
        self.platform.latency_s = 0.0
        self.assertTrue(task.cancelled())
        self.assertIsNone((await self.claim(self.build_registry(1))).replay)

    async def test_delayed_create_does_not_block_abandoned_key(self) -> None:
        registry = self.build_registry(0)
        self.platform.responses_to_lose = 1
        claim = await self.claim(registry)
        delayed = self.platform.store.list("calls").objects[0]
        self.assertTrue(await self.run_for(registry.abandon(claim)))
        await self.platform.create("calls", delayed.name, delayed.value)
        await self.loop.advance(30.0)
        self.assertIsNone((await self.claim(self.build_registry(1))).replay)

    async def test_platform_unavailable_is_not_run(self) -> None:
        self.platform.available = False
        error = await self.check_claim_fails(
            self.build_registry(0), "platform_unavailable"
        )
        self.assertEqual(error.execution, errors.Execution.NOT_RUN)
        self.assertEqual(error.status, 503)

    async def test_deadline_exceeded_before_dispatch_releases_key(self) -> None:
        registry = self.build_registry(0)
        claim = await self.claim(registry)
        with self.assertRaises(errors.DragonflydykeError) as caught:
            await self.run_for(registry.start_dispatch(claim, self.loop.time()))
        self.assertEqual(caught.exception.code, "deadline_exceeded")
        self.assertEqual(caught.exception.execution, errors.Execution.NOT_RUN)
        claim = await self.claim(self.build_registry(1))
        self.assertIsNone(claim.replay)

    async def test_claim_is_dispatched_and_finalized_once(self) -> None:
        registry = self.build_registry(0)
        claim = await self.claim(registry)
        await registry.start_dispatch(claim, self.loop.time() + 1)
        with self.assertRaises(errors.InvariantError):
            await registry.start_dispatch(claim, self.loop.time() + 1)
        await self.run_for(registry.abandon(claim))
        with self.assertRaises(errors.InvariantError):
            await registry.finish(claim, 200, "", b"")

    async def test_writes_are_retried_in_background(self) -> None:
        for lost in (False, True):
            for abandoned in (False, True):
                with self.subTest(lost=lost, abandoned=abandoned):
                    await self._check_background_write(lost, abandoned)

    async def _check_background_write(
        self, is_response_lost: bool, abandoned: bool
    ) -> None:
        self.platform = faulty_objects.SharedPlatform()
        registry = self.build_registry(0)
        claim = await self.claim(registry)
        await registry.start_dispatch(claim, self.loop.time() + 1)
        self.platform.available = is_response_lost
        self.platform.responses_to_lose = 1
        work = registry.finish(claim, 200, "", b"1")
        if abandoned:
            work.close()
            work = registry.abandon(claim)
        self.assertFalse(await self.run_for(work, 0.05))
        await self.loop.advance(60.0 if not is_response_lost else 0.0)
        self.assertEqual(registry.count_pending_writes(), 1)
        self.platform.available = True
        # Waits for two backoff delays, because the response to the first write
        # after the outage is lost.
        await self.loop.advance(21.0)
        self.assertEqual(registry.count_pending_writes(), 0)
        replay = (await self.claim(self.build_registry(1))).replay
        self.assertEqual(replay is None, abandoned)

    @hypothesis.given(
        body=strategies.binary(max_size=100),
        status=strategies.integers(100, 599),
    )
    def test_stored_response_round_trip(self, body: bytes, status: int) -> None:
        value = model.format_finished_call(
            model.Claim("n", "o", "d", 1), "vm", status, "text/plain", body
        )
        self.assertEqual(
            model.parse_response(value),
            model.StoredResponse(status, "text/plain", body, True),
        )


class RandomFaultsTest(_ClaimsTestCase):
    """Guards against sequences of faults that cause a call to run twice."""

    async def test_calls_run_at_most_once(self) -> None:
        seed = faulty_objects.read_seed()
        executed = 0
        for run in range(_RANDOM_RUNS):
            await self._check_run(seed + run)
            executed += sum(self.executions.values())
        self.assertGreater(executed, 3 * _RANDOM_RUNS, self.seed_message)

    async def _check_run(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.platform = faulty_objects.SharedPlatform()
        self.platform.latency_s = 0.02
        self.executions = dict.fromkeys(range(20), 0)
        self.responses: dict[int, set[bytes]] = {}
        self.seed_message = f"DRAGONFLYDYKE_SEED={seed}"
        registries = [self.build_registry(seed + number) for number in range(4)]
        tasks = []
        for _ in range(100):
            self.platform.available ^= self.random.random() < 0.1
            self.platform.lost_response_share = self.random.choice(
                (0.0, 0.3, 0.9)
            )
            for _ in range(self.random.randrange(6)):
                registry = self.random.choice(registries)
                task = asyncio.create_task(self._make_call(registry))
                if self.random.random() < 0.1:
                    self.loop.call_later(self.random.random(), task.cancel)
                tasks.append(task)
            await self.loop.advance(0.5)
        self.platform.available = True
        self.platform.lost_response_share = 0.0
        await self.loop.advance(60.0)
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            is_cancelled = isinstance(result, asyncio.CancelledError)
            self.assertTrue(result is None or is_cancelled, repr(result))
        self.assertLessEqual(
            max(self.executions.values()), 1, self.seed_message
        )
        self.assertTrue(all(len(a) == 1 for a in self.responses.values()))
        self.assertEqual(
            [r.count_pending_writes() for r in registries], [0] * 4
        )
        faults = self.counters.total("claim.background_fault")
        self.assertEqual(faults, 0, self.seed_message)

    async def _make_call(self, registry: claims.ClaimRegistry) -> None:
        number = self.random.randrange(len(self.executions))
        executions_before = self.executions[number]
        deadline_s = self.loop.time() + self.random.choice((0.1, 5.0))
        try:
            claim = await registry.claim(
                "a", "labels", "print", str(number), "d", _TIMEOUT_S
            )
            if claim.replay is None:
                await registry.start_dispatch(claim, deadline_s)
        except errors.DragonflydykeError as error:
            if error.code == "call_outcome_unknown":
                self.assertNotEqual(error.execution, errors.Execution.NOT_RUN)
            return
        if claim.replay is not None:
            self.assertEqual(self.executions[number], 1, self.seed_message)
            self.responses.setdefault(number, set()).add(claim.replay.body)
            return
        # A claim without a replay guarantees that the call has not run yet.
        self.assertEqual(self.executions[number], 0, self.seed_message)
        self.assertEqual(executions_before, 0, self.seed_message)
        outcome_draw = self.random.random()
        if outcome_draw < 0.3:  # The connection was refused.
            await registry.abandon(claim)
            return
        self.executions[number] += 1
        body = str(self.random.random()).encode()
        await asyncio.sleep(self.random.random())
        if outcome_draw < 0.9:  # Otherwise the response of the service is lost.
            await registry.finish(claim, 200, "text/plain", body)
            self.responses.setdefault(number, set()).add(body)
