"""Runs a request: attempts at servers until an answer or a refusal."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from tornado import tcpclient

from dragonflydyke import errors, latencies, logs, metrics, transport
from dragonflydyke.forwarding import (
    attempts,
    cascade,
    conductor,
    decisions,
    directory,
    messages,
    model,
    placement,
)
from dragonflydyke.routing import retries

# Retries of this node per request, and those it may make at once; the fleet
# shares a budget that no node can see.
_RETRY_SHARE = 0.8
_RETRY_RESERVE = 4.0

_LOGGER = logs.get_logger("forwarding")


class Forwarder:
    """Forwards requests; one for all connections of a node.

    Attributes:
        policy: Configuration in force, None before the first.
        is_closing: Whether new requests are refused, because the node stops
            before a long answer could end.
        latencies: Times to the end of requests, by route and outcome.
    """

    __slots__ = (
        "_budgets",
        "_cascades",
        "_codec",
        "_conductor",
        "_counters",
        "_directory",
        "_placer",
        "_tcp",
        "is_closing",
        "latencies",
        "policy",
    )

    def __init__(
        self,
        codec: messages.Codec,
        members: directory.Directory,
        versions: conductor.Conductor,
        placer: placement.Placer,
        counters: metrics.Counters,
    ) -> None:
        """Creates a forwarder without a policy, which refuses everything."""
        self.policy: model.ForwardingPolicy | None = None
        self.is_closing = False
        self.latencies = latencies.Latencies()
        self._codec = codec
        self._directory = members
        self._conductor = versions
        self._placer = placer
        self._counters = counters
        self._budgets: dict[str, retries.RetryBudget] = {}
        self._cascades: dict[str, cascade.Cascade] = {}
        self._tcp = tcpclient.TCPClient(transport.AddressResolver())

    async def forward(
        self, request: messages.IncomingRequest, reply: attempts.Reply
    ) -> None:
        """Answers a request in every case, unless the client leaves."""
        state = attempts.RunState()
        outcome = "delivered"
        try:
            admitted = decisions.admit(
                self.policy, request, is_closing=self.is_closing
            )
        except errors.DragonflydykeError as error:
            self._refuse(request, reply, error)
            self._log(request, None, state, error.code)
            return
        try:
            await self._run(request, reply, admitted, state)
        except errors.DragonflydykeError as error:
            outcome = error.code
            self._end_with_error(request, reply, state, error)
        except attempts.ClientGoneError:
            outcome = "client_gone"
            reply.abort()
        self._log(request, admitted, state, outcome)

    async def _run(
        self,
        request: messages.IncomingRequest,
        reply: attempts.Reply,
        admitted: decisions.Admitted,
        state: attempts.RunState,
    ) -> None:
        job = _build_job(request, admitted)
        budget = self._budgets.setdefault(
            admitted.pool.name, retries.RetryBudget(_RETRY_RESERVE)
        )
        budget.record_request(_RETRY_SHARE)
        loop = asyncio.get_running_loop()
        while True:
            end, reason = await self._attempt(
                request, reply, admitted, job, state, budget
            )
            progress = decisions.RequestProgress(
                attempts=state.attempts,
                dispatches=state.dispatches,
                may_have_run=state.may_have_run,
                remaining_s=admitted.deadline_s - loop.time(),
            )
            step = decisions.decide_next(admitted.route, end, progress)
            if step is decisions.NextStep.DONE:
                return
            if step is decisions.NextStep.RETRY and budget.try_spend():
                self._counters.increment(f"retry.{end}")
                _note_models(state, end)
                continue
            if state.failure is not None and not state.begun:
                state.failure.deliver(reply)
                return
            raise decisions.conclude(end, progress)

    async def _attempt(
        self,
        request: messages.IncomingRequest,
        reply: attempts.Reply,
        admitted: decisions.Admitted,
        job: placement.Job,
        state: attempts.RunState,
        budget: retries.RetryBudget,
    ) -> tuple[decisions.AttemptEnd, str]:
        loop = asyncio.get_running_loop()
        self._directory.expire(loop.time())
        members = self._list_members(request, admitted)
        choice = self._placer.choose(
            job, members, loop.time(), state.failed_servers
        )
        if choice is None:
            return decisions.AttemptEnd.NOT_RUN, "no server"
        member = choice.member
        state.dispatches += 1
        self._placer.begin(job, member)
        models = self._cascades.setdefault(
            admitted.pool.name, cascade.Cascade()
        )
        attempt = attempts.Attempt(
            self._codec,
            self._tcp,
            self._conductor,
            request,
            admitted,
            member,
            models,
            budget,
        )
        end = decisions.AttemptEnd.DELIVERED
        reason = ""
        try:
            await _until_closed(reply, attempt.run(reply, state))
        except attempts.AttemptEndedError as error:
            end, reason = error.end, error.reason
        except attempts.ClientGoneError:
            end = decisions.AttemptEnd.CLIENT_GONE
            raise
        finally:
            attempt.close()
            if attempt.may_have_run and not self._has_ended(member, end):
                state.attempts += 1
            state.may_have_run |= attempt.may_have_run
            ejected = self._placer.end(
                job,
                member,
                loop.time(),
                failed=_judge(end),
                latency=None,
                peers=members,
            )
            attempt.end(end)
            if ejected:
                self._counters.increment("server.ejected")
                _LOGGER.notice("server ejected", server=member.name)
            state.trail.append(f"{member.name}:{end}:{reason}")
        if end not in _BLAMELESS:
            state.failed_servers.append(member.name)
        return end, reason

    def _list_members(
        self, request: messages.IncomingRequest, admitted: decisions.Admitted
    ) -> tuple[directory.Member, ...]:
        members = self._directory.list_usable(admitted.pool.name)
        session = request.details.session or request.details.request_id
        rule = self._conductor.select(admitted.pool.name, session)
        return placement.filter_versions(rule, members)

    def _has_ended(
        self, member: directory.Member, end: decisions.AttemptEnd
    ) -> bool:
        """Returns whether an attempt was lost because its server ended.

        The old servers stop at once when a roll-out completes.
        """
        if end is not decisions.AttemptEnd.LOST:
            return False
        rule = self._conductor.select(member.pool, "")
        has_other_version = bool(rule.wanted) and not rule.allows(
            member.version
        )
        return has_other_version or not self._directory.is_usable(member)

    def _refuse(
        self,
        request: messages.IncomingRequest,
        reply: attempts.Reply,
        error: errors.DragonflydykeError,
    ) -> None:
        self._counters.increment(f"refusal.{error.code}")
        if reply.is_closed:
            return
        headers = self._codec.write_refusal(
            request.details.request_id, error.retry_after_s
        )
        body = (error.code + "\n").encode()
        attempts.BufferedAnswer(error.status, headers, body).deliver(reply)

    def _end_with_error(
        self,
        request: messages.IncomingRequest,
        reply: attempts.Reply,
        state: attempts.RunState,
        error: errors.DragonflydykeError,
    ) -> None:
        if state.begun:
            self._counters.increment(f"stream_cut.{error.code}")
            reply.abort()
            return
        self._refuse(request, reply, error)

    def _log(
        self,
        request: messages.IncomingRequest,
        admitted: decisions.Admitted | None,
        state: attempts.RunState,
        outcome: str,
    ) -> None:
        self._counters.increment(f"request.{outcome}")
        now_s = asyncio.get_running_loop().time()
        route = admitted.route.name if admitted else "refused"
        self.latencies.record(
            f"request.{route}.{outcome}", now_s - request.received_s
        )
        _LOGGER.info(
            "request ended",
            request=request.details.request_id,
            route=admitted.route.name if admitted else "",
            pool=admitted.pool.name if admitted else "",
            policy=admitted.policy_version if admitted else None,
            servers_age_s=_round_age(now_s, self._directory.updated_s),
            attempts=state.trail,
            outcome=outcome,
            took_s=round(now_s - request.received_s, 4),
        )


async def _until_closed(
    reply: attempts.Reply, work: Coroutine[Any, Any, None]
) -> None:
    """Runs work until its end, or cancels it when the client goes."""
    task = asyncio.ensure_future(work)
    reply.on_close(task.cancel)
    try:
        await task
    except asyncio.CancelledError:
        if reply.is_closed:
            raise attempts.ClientGoneError from None
        raise
    finally:
        reply.on_close(None)


_BLAMELESS = frozenset(
    (decisions.AttemptEnd.DELIVERED, decisions.AttemptEnd.INSUFFICIENT)
)


def _judge(end: decisions.AttemptEnd) -> bool | None:
    """Returns whether a server was at fault, None if that is not known."""
    if end in _BLAMELESS:
        return False
    if end in (decisions.AttemptEnd.CLIENT_GONE, decisions.AttemptEnd.SLOW):
        return None
    return True


def _note_models(state: attempts.RunState, end: decisions.AttemptEnd) -> None:
    if end is decisions.AttemptEnd.INSUFFICIENT:
        state.escalated = True
    elif end is decisions.AttemptEnd.SLOW:
        state.fell_back = True


def _build_job(
    request: messages.IncomingRequest, admitted: decisions.Admitted
) -> placement.Job:
    details = request.details
    if admitted.pool.engine is None:
        return placement.Job(admitted.pool, body_bytes=len(request.body))
    shared = details.shared_part
    shared_tokens = sum(part.tokens for part in details.prompt[:-1])
    return placement.Job(
        pool=admitted.pool,
        affinity=shared.part_id if shared else "",
        shared_tokens=shared_tokens,
        own_tokens=max(0, details.prompt_tokens - shared_tokens),
        output_tokens=details.length_hint or details.max_output_tokens,
        body_bytes=len(request.body),
    )


def _round_age(now_s: float, then_s: float | None) -> float | None:
    return None if then_s is None else round(now_s - then_s, 2)
