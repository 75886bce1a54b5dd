"""Registry of claims, which make non-idempotent calls run at most once."""

import asyncio
import random
import secrets
import time
from collections.abc import Callable, Coroutine
from typing import Any

from dragonflydyke import errors, logs, metrics, objects
from dragonflydyke.idempotency import held_claims, model
from dragonflydyke.objects import model as objects_model

CALLS_KIND = "calls"
# Grace period after the timeout of the operation, in which the router that
# holds the claim may still store the response.
CLAIM_HOLDER_GRACE_S = 30.0
_CREATE_ATTEMPTS = 3
_CREATE_RETRY_DELAY_S = 0.05
_MAX_RETRY_AFTER_S = 5.0
_INITIAL_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 10.0
# Time in which a create whose response was lost may still take effect; the
# platform limits calls to seconds.
_MAX_CREATE_DELAY_S = 15.0

_log = logs.get_logger("idempotency.claims")


def _is_of_later_era(stored: objects.StoredObject, claim: model.Claim) -> bool:
    """Returns whether the platform was restored since a claim was stored."""
    return objects_model.is_of_later_era(stored.version, claim.version)


def _read_clock_ms() -> int:
    return int(time.time() * 1_000)


class ClaimRegistry:
    """Claims calls in the platform, so that each is made at most once.

    If `claim` returns no replay, call `start_dispatch` right before sending the
    request. Afterwards call either `finish` with the response, or `abandon` if
    the call is known not to have run. If the outcome is unknown, call neither;
    the claim then remains and blocks the key.
    """

    __slots__ = (
        "_background_tasks",
        "_clock_ms",
        "_counters",
        "_era",
        "_held",
        "_objects",
        "_random",
        "_vm_name",
    )

    def __init__(
        self,
        objects_client: objects.ObjectStore,
        vm_name: str,
        counters: metrics.Counters,
        *,
        clock_ms: Callable[[], int] = _read_clock_ms,
        generator: random.Random | None = None,
    ) -> None:
        """Creates a registry.

        Args:
            objects_client: The platform.
            vm_name: Name of this VM, stored as the holder of claims.
            counters: Receives `claim.<event>`.
            clock_ms: Returns the Unix time in milliseconds.
            generator: Source of the backoff jitter.
        """
        self._objects = objects_client
        self._vm_name = vm_name
        self._counters = counters
        self._clock_ms = clock_ms
        self._random = generator or random.Random()
        self._era: int | None = None
        self._held = held_claims.HeldClaims()
        self._background_tasks: set[asyncio.Task[None]] = set()

    async def claim(
        self,
        account: str,
        service: str,
        operation: str,
        key: str,
        request_digest: str,
        operation_timeout_s: float,
    ) -> model.Claim:
        """Claims a call.

        Args:
            account: Client account.
            service: Name of the service.
            operation: Name of the operation.
            key: Idempotency key of the client.
            request_digest: Digest of everything that is sent to the service.
            operation_timeout_s: Timeout of the operation.

        Returns:
            The claim. Its `replay` is the stored response if the same call
            was already made.

        Raises:
            DragonflydykeError: `idempotency_key_reused` (422),
                `call_in_progress` or `call_outcome_unknown` (409, execution
                unknown), `platform_unavailable` (503, not run).
        """
        claim = model.Claim(
            name=model.derive_object_name(account, service, operation, key),
            nonce=secrets.token_hex(16),
            request_digest=request_digest,
            claimed_at_ms=self._clock_ms(),
        )
        try:
            existing = await self._create(claim)
        except asyncio.CancelledError:
            # The create may have taken effect before the cancellation.
            self._start_background(
                self._remove_unconfirmed(claim, _MAX_CREATE_DELAY_S)
            )
            raise
        if existing is None:
            self._counters.increment("claim.created")
            self._hold(claim, model.format_claim(claim, self._vm_name))
            return claim
        return self._evaluate_existing_claim(
            claim, existing.value, operation_timeout_s
        )

    async def start_dispatch(
        self, claim: model.Claim, deadline_s: float
    ) -> None:
        """Marks the claim as dispatched; call it once per claim.

        Args:
            claim: A claim without a replay.
            deadline_s: Loop time of the deadline of the request.

        Raises:
            DragonflydykeError: `deadline_exceeded` (504, not run) if the
                deadline has passed; the claim is then abandoned.
            InvariantError: If the claim was already dispatched or finalized.
        """
        errors.check_invariant(
            claim.replay is None
            and not claim.is_dispatched
            and not claim.is_finalized,
            f"call {claim.name} was dispatched twice or without a claim",
        )
        if asyncio.get_running_loop().time() >= deadline_s:
            await self.abandon(claim)
            raise errors.DragonflydykeError(
                "deadline_exceeded",
                "the deadline was exceeded before the call was sent; "
                "retry with a later deadline",
                step=errors.Step.CLAIM,
                retry_after_s=0.0,
                status=504,
            )
        claim.is_dispatched = True

    async def finish(
        self,
        claim: model.Claim,
        status: int,
        content_type: str,
        body: bytes,
    ) -> bool:
        """Stores the response for replays.

        Returns:
            Whether the response is stored. If not, the write is retried in
            the background, and the response can be delivered meanwhile.

        Raises:
            InvariantError: If the claim was not dispatched, or was already
                finalized.
        """
        errors.check_invariant(
            claim.is_dispatched and not claim.is_finalized,
            f"call {claim.name} was finished twice or without being dispatched",
        )
        claim.is_finalized = True
        value = model.format_finished_call(
            claim, self._vm_name, status, content_type, body
        )
        self._hold(claim, value)
        return await self._write_with_retries(lambda: self._store(claim, value))

    async def abandon(self, claim: model.Claim) -> bool:
        """Removes the claim of a call that is known not to have run.

        Returns:
            Whether the claim is removed. If not, the delete is retried in the
            background.

        Raises:
            InvariantError: If the claim has a replay, or was already
                finalized.
        """
        errors.check_invariant(
            claim.replay is None and not claim.is_finalized,
            f"call {claim.name} was abandoned after it was finalized",
        )
        claim.is_finalized = True
        self._held.discard(claim)
        self._counters.increment("claim.abandoned")
        if claim.has_unconfirmed_create:
            # If the create took effect after the delete, the claim would block
            # the key permanently.
            self._start_background(
                self._remove_unconfirmed(claim, _MAX_CREATE_DELAY_S)
            )
        return await self._write_with_retries(lambda: self._delete(claim))

    def follow_version(self, version: int) -> None:
        """Repeats the claims if the platform was restored from a copy.

        Args:
            version: Version of the platform; call it with each newer one.
        """
        era = objects_model.find_era(version)
        if self._era is not None and era > self._era:
            self._start_background(self.repeat_claims())
        self._era = era

    async def repeat_claims(self) -> None:
        """Writes the recent claims that a restore of the platform lost.

        Returns after the first attempt for each; failed ones are retried in the
        background.
        """
        now_s = asyncio.get_running_loop().time()
        for name in self._held.list_names(now_s):
            await self._write_with_retries(lambda name=name: self._repeat(name))

    def count_pending_writes(self) -> int:
        """Returns the number of writes in progress in the background."""
        return len(self._background_tasks)

    async def close(self, timeout_s: float) -> None:
        """Waits for the background writes; cancels them after the timeout."""
        tasks = set(self._background_tasks)
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_s)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _hold(self, claim: model.Claim, value: dict[str, Any]) -> None:
        now_s = asyncio.get_running_loop().time()
        self._held.hold(claim, value, now_s)

    async def _repeat(self, name: str) -> None:
        present = await self._objects.get(CALLS_KIND, name)
        held = self._held.find(name)
        if held is None:
            # The call was abandoned meanwhile.
            return
        claim, value = held.claim, held.value
        if present is None:
            await self._create_again(claim, value)
        elif present.value["nonce"] == claim.nonce:
            claim.version = present.version
            if present.value["state"] != value["state"] == "done":
                await self._objects.update(
                    CALLS_KIND, name, value, claim.version
                )

    async def _create(self, claim: model.Claim) -> objects.StoredObject | None:
        """Creates the object of the claim in the platform.

        Returns:
            The existing object if the call was already claimed, or None if
            this claim was created.

        Raises:
            DragonflydykeError: `platform_unavailable`, not run.
        """
        value = model.format_claim(claim, self._vm_name)
        for _ in range(_CREATE_ATTEMPTS):
            try:
                stored = await self._objects.create(
                    CALLS_KIND, claim.name, value
                )
            except objects.ConflictError as error:
                stored = error.current
            except objects.OutcomeUnknownError:
                claim.has_unconfirmed_create = True
                stored = await self._read(claim.name)
            except objects.PlatformUnavailableError as error:
                raise self._build_rejection(claim, error) from error
            if stored is None:
                # The create has not taken effect yet, or another router deleted
                # the object; the next attempt to create it shows which.
                await asyncio.sleep(_CREATE_RETRY_DELAY_S)
                continue
            if stored.value["nonce"] == claim.nonce:
                claim.version = stored.version
                return None
            return stored
        raise self._build_rejection(claim, None)

    async def _read(self, name: str) -> objects.StoredObject | None:
        try:
            return await self._objects.get(CALLS_KIND, name)
        except objects.PlatformUnavailableError:
            return None

    def _build_rejection(
        self,
        claim: model.Claim,
        cause: errors.DragonflydykeError | None,
    ) -> errors.DragonflydykeError:
        """Returns the error that rejects a call that was not dispatched."""
        self._counters.increment("claim.refused")
        if claim.has_unconfirmed_create:
            self._start_background(
                self._remove_unconfirmed(claim, _MAX_CREATE_DELAY_S)
            )
        return errors.DragonflydykeError(
            "platform_unavailable",
            "the call could not be claimed; retry later with the same key",
            step=errors.Step.CLAIM,
            peer=cause.peer if cause else "",
            retry_after_s=_MAX_RETRY_AFTER_S,
            status=503,
        )

    def _evaluate_existing_claim(
        self,
        claim: model.Claim,
        value: dict[str, Any],
        operation_timeout_s: float,
    ) -> model.Claim:
        if value["request_digest"] != claim.request_digest:
            raise errors.DragonflydykeError(
                "idempotency_key_reused",
                "the idempotency key was used for a different request; "
                "use a new key",
                step=errors.Step.CLAIM,
                status=422,
                field="Idempotency-Key",
            )
        if value["state"] == "done":
            self._counters.increment("claim.replayed")
            claim.replay = model.parse_response(value)
            claim.is_finalized = True
            return claim
        age_s = (self._clock_ms() - value["claimed_at_ms"]) / 1_000
        remaining_s = operation_timeout_s + CLAIM_HOLDER_GRACE_S - age_s
        if remaining_s > 0:
            raise errors.DragonflydykeError(
                "call_in_progress",
                "another call with this idempotency key is in progress; retry "
                "with the same key to get its response",
                step=errors.Step.CLAIM,
                peer=value["holder"],
                execution=errors.Execution.UNKNOWN,
                retry_after_s=min(_MAX_RETRY_AFTER_S, max(1.0, remaining_s)),
                status=409,
            )
        raise errors.DragonflydykeError(
            "call_outcome_unknown",
            "the router that made this call failed before it stored the "
            "response; check with the service whether the call was made",
            step=errors.Step.CLAIM,
            peer=value["holder"],
            execution=errors.Execution.UNKNOWN,
            status=409,
        )

    async def _store(self, claim: model.Claim, value: dict[str, Any]) -> None:
        try:
            await self._objects.update(
                CALLS_KIND, claim.name, value, claim.version
            )
        except objects.ConflictError:
            await self._resolve_conflict(claim, value)

    async def _resolve_conflict(
        self, claim: model.Claim, value: dict[str, Any]
    ) -> None:
        """Stores a response whose update conflicted.

        Either the response to an earlier update was lost, or the platform was
        restored from a copy, which may have the claim, or not, or the claim of
        a later call with the same key.

        Raises:
            InvariantError: If another router changed the claim otherwise.
        """
        present = await self._objects.get(CALLS_KIND, claim.name)
        if present is None:
            # No router removes the claim of another one.
            await self._create_again(claim, value)
            return
        is_own = present.value["nonce"] == claim.nonce
        if is_own and present.value["state"] == "done":
            return
        errors.check_invariant(
            _is_of_later_era(present, claim),
            f"claim {claim.name} was changed by another router",
        )
        if is_own:
            claim.version = present.version
            await self._objects.update(
                CALLS_KIND, claim.name, value, claim.version
            )
            return
        self._counters.increment("claim.superseded")
        _log.error(
            "restored platform has the claim of a later call",
            call=claim.name,
            holder=present.value["holder"],
        )

    async def _create_again(
        self, claim: model.Claim, value: dict[str, Any]
    ) -> None:
        try:
            stored = await self._objects.create(CALLS_KIND, claim.name, value)
        except objects.ConflictError as error:
            # Repeats the write with what is stored now.
            raise objects.OutcomeUnknownError(
                f"claim {claim.name} was created meanwhile", peer=error.peer
            ) from error
        claim.version = stored.version
        self._counters.increment("claim.restored")

    async def _delete(self, claim: model.Claim) -> None:
        try:
            await self._objects.delete(CALLS_KIND, claim.name, claim.version)
        except objects.ConflictError as error:
            # Either an earlier attempt deleted the claim, and the key may have
            # been claimed again; or an unconfirmed create took effect only now,
            # which `_remove_unconfirmed` handles.
            present = error.current or await self._objects.get(
                CALLS_KIND, claim.name
            )
            if present is None or present.value["nonce"] != claim.nonce:
                return
            if _is_of_later_era(present, claim):
                claim.version = present.version
                await self._objects.delete(
                    CALLS_KIND, claim.name, claim.version
                )
                return
            errors.check_invariant(
                claim.has_unconfirmed_create,
                f"claim {claim.name} was changed while being abandoned",
            )

    async def _remove_unconfirmed(
        self, claim: model.Claim, max_create_delay_s: float
    ) -> None:
        """Deletes a claim whose create may have taken effect, or still may.

        Checks for the claim until `max_create_delay_s` seconds have passed
        without an error of the platform.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + max_create_delay_s
        delay_s = _INITIAL_BACKOFF_S
        while True:
            try:
                stored = await self._objects.get(CALLS_KIND, claim.name)
                if stored and stored.value["nonce"] == claim.nonce:
                    await self._objects.delete(
                        CALLS_KIND, claim.name, stored.version
                    )
                if loop.time() >= end_s:
                    return
            except errors.DragonflydykeError:
                # A delayed create may take effect until this long after the
                # last outage.
                end_s = loop.time() + max_create_delay_s
            await asyncio.sleep(delay_s)
            delay_s = self._next_delay_s(delay_s)

    async def _write_with_retries(
        self, write: Callable[[], Coroutine[Any, Any, None]]
    ) -> bool:
        """Writes in a background task that retries until it succeeds.

        The task continues when the caller of this method is cancelled.

        Returns:
            Whether the first attempt succeeded.
        """
        first_result = asyncio.get_running_loop().create_future()
        self._start_background(self._retry_write(write, first_result))
        return await asyncio.shield(first_result)

    async def _retry_write(
        self,
        write: Callable[[], Coroutine[Any, Any, None]],
        first_result: asyncio.Future[bool],
    ) -> None:
        delay_s = _INITIAL_BACKOFF_S
        try:
            while not await self._try_write(write()):
                if not first_result.done():
                    self._counters.increment("claim.settle_retried")
                    first_result.set_result(False)
                await asyncio.sleep(delay_s * self._random.uniform(0.5, 1.0))
                delay_s = self._next_delay_s(delay_s)
        except Exception as error:
            if first_result.done():
                raise
            first_result.set_exception(error)
        else:
            if not first_result.done():
                first_result.set_result(True)

    async def _try_write(self, write: Coroutine[Any, Any, None]) -> bool:
        try:
            await write
        except (
            objects.PlatformUnavailableError,
            objects.OutcomeUnknownError,
        ):
            return False
        return True

    def _next_delay_s(self, delay_s: float) -> float:
        return min(_MAX_BACKOFF_S, 2 * delay_s)

    def _start_background(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._handle_task_done)

    def _handle_task_done(self, task: asyncio.Task[None]) -> None:
        self._background_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._counters.increment("claim.background_fault")
            _log.error(
                "background write of a claim failed",
                cause=str(task.exception()),
            )
