"""Execution of a chat completion."""

import asyncio
import json
import time
from collections.abc import Sequence
from typing import Any

from dragonflydyke import backends, errors, routing
from dragonflydyke.configuration import model
from dragonflydyke.gateway import (
    accounting,
    attempts,
    dispatch,
    events,
    execution,
    hedging,
    relays,
    replies,
    requests,
    services,
)
from dragonflydyke.gateway.caller import Caller
from dragonflydyke.sessions import model as sessions

_PATH = "/v1/chat/completions"
_MS_PER_S = 1_000
_HELD_RETRY_S = 10.0
_BACKEND_STEPS = frozenset(
    {
        errors.Step.CONNECT,
        errors.Step.SEND,
        errors.Step.AWAIT_ANSWER,
        errors.Step.READ_ANSWER,
    }
)
_FINAL_CODES = frozenset(
    {"backend_rejected", "deadline_exceeded", "answer_too_long"}
)
_NO_SERVER_CODES = frozenset({"no_backend_server", "overloaded"})


class ChatExecution(execution.Execution):
    """Selects a version, relays its answer and bills it."""

    def __init__(
        self,
        gateway_services: services.GatewayServices,
        caller: Caller,
        account: str,
        received_s: float,
        request: requests.ChatRequest,
    ) -> None:
        """Creates an execution; see the base class."""
        super().__init__(gateway_services, caller, account, received_s)
        self._request = request
        self._class: model.RequestClass | None = None
        self._session: sessions.Session | None = None
        self._session_token = ""
        self._plan: routing.Plan | None = None
        self._stage_index = 0
        self._retries = 0
        self._tried: set[str] = set()
        self._race = hedging.Race()

    @property
    def _stage(self) -> routing.Stage:
        assert self._plan is not None
        return self._plan.stages[self._stage_index]

    @property
    def _request_class(self) -> model.RequestClass:
        assert self._class is not None
        return self._class

    async def _serve(self) -> None:
        self._admit()
        try:
            await self._try_stages()
        finally:
            await self._race.settle()

    async def _try_stages(self) -> None:
        while True:
            try:
                if await self._try_stage():
                    return
                self._start_stage(self._stage_index + 1)
            except errors.DragonflydykeError as error:
                if not self._may_retry(error):
                    raise

    def _admit(self) -> None:
        in_force = execution.read_in_force(self._services)
        self._services.permit.check()
        account = self._get_account(in_force.document)
        options = self._request.options
        name = options.request_class or account.default_class
        self._class = _find_class(in_force.document, name)
        self._set_deadline(options.deadline_s or self._class.deadline_s)
        self._read_session(in_force, options.session)
        self._plan = self._make_plan(in_force, account)
        self._admission = self._services.limiter.admit(
            account, self._request.estimate_tokens(self._class)
        )
        self._bill = self._create_bill(
            in_force.revision,
            self._class.name,
            options.idempotency_key,
            self._request.digest,
        )
        share = in_force.document.policy.retry_budget_share
        self._services.retry_budget.record_request(share)
        hedge_share = in_force.document.policy.hedge_budget_share
        self._services.hedge_budget.record_request(hedge_share)

    def _make_plan(
        self, in_force: services.InForce, account: model.ClientAccount
    ) -> routing.Plan:
        return routing.plan(
            in_force,
            account,
            self._request.model,
            self._request_class,
            self._session,
            self._caller.request_id,
            restraint=self._services.version_counts,
            rates=self._services.acceptance if self._services.check else None,
        )

    def _update_plan(self, in_force: services.InForce) -> None:
        """Plans a retry anew: a version may be withdrawn or stopped since."""
        account = self._get_account(in_force.document)
        updated = self._make_plan(in_force, account)
        names = [stage.model for stage in updated.stages]
        if self._stage.model in names:
            self._stage_index = names.index(self._stage.model)
            self._plan = updated

    def _read_session(self, in_force: services.InForce, token: str) -> None:
        if not token or token == requests.SESSION_NEW:
            return
        self._session = self._services.sessions.verify(
            in_force.key_ring, token, self._account_name
        )
        self._session_token = token

    async def _try_stage(self) -> bool:
        """Makes one attempt; returns False if its answer was rejected."""
        held = await self._hold()
        in_force = execution.read_in_force(self._services)
        if self._retries or held:
            self._update_plan(in_force)
        stage = self._stage
        candidates = self._services.pool.candidates(in_force, stage.full_name)
        server = self._pick_for_class(candidates)
        self._check_dispatch(in_force)
        first = self._begin_attempt(in_force, server, candidates)
        attempt = await self._race.run(
            first,
            lambda: self._begin_hedge(in_force, candidates),
            self._compute_hedge_delay(in_force),
        )
        if self._request.stream:
            return await self._run_stream(attempt, in_force)
        return await self._run_whole(attempt, in_force)

    def _begin_attempt(
        self,
        in_force: services.InForce,
        server: model.BackendServer,
        candidates: Sequence[model.BackendServer],
    ) -> hedging.Contender:
        self._tried.add(server.name)
        assert self._bill is not None
        stage = self._stage
        attempt = attempts.BackendAttempt(
            self._services,
            self._bill,
            server,
            candidates,
            names=(stage.model, stage.version.name),
            price=stage.version.price,
            deadline=self._deadline,
            blame_after_s=self._request_class.deadline_s,
            kind=self._describe_work(),
            long=self._request_class.long,
            roll_out=in_force.document.roll_out_for(stage.model),
            max_resumes=in_force.document.policy.max_attempts
            - self._retries
            - 1,
        )
        return hedging.Contender(attempt, self._build_request(server))

    def _compute_hedge_delay(self, in_force: services.InForce) -> float | None:
        """Returns the seconds until a second attempt, None for never."""
        share = in_force.document.policy.hedge_budget_share
        if share <= 0.0 or self._request_class.long:
            return None
        return self._services.pool.compute_hedge_delay_s(self._describe_work())

    def _begin_hedge(
        self,
        planned: services.InForce,
        candidates: Sequence[model.BackendServer],
    ) -> hedging.Contender | None:
        """Begins a second attempt at an idle server, within the budget."""
        in_force = execution.read_in_force(self._services)
        if in_force.revision != planned.revision:
            return None
        server = self._services.pool.pick_with_room(
            candidates, frozenset(self._tried), self._request_class
        )
        if server is None:
            return None
        try:
            self._check_dispatch(in_force)
        except errors.DragonflydykeError:
            return None
        if not self._services.hedge_budget.try_spend():
            self._services.counters.increment("hedge_budget.exhausted")
            return None
        self._services.counters.increment("hedge.begun")
        return self._begin_attempt(in_force, server, candidates)

    async def _hold(self) -> bool:
        """Holds work that may wait back while all servers are full.

        Returns:
            Whether the request may have waited.

        Raises:
            DragonflydykeError: `overloaded`, not run, if there was no room
                within the time of the class.
        """
        request_class = self._request_class
        if request_class.may_wait_s <= 0.0:
            return False
        in_force = execution.read_in_force(self._services)
        until_s = self._received_s + request_class.may_wait_s
        has_room = await self._services.pool.hold(
            self._services.pool.candidates(in_force, self._stage.full_name),
            frozenset(self._tried),
            request_class,
            self._account_name,
            min(until_s, self._deadline),
        )
        if not has_room:
            raise errors.DragonflydykeError(
                "overloaded",
                "The backend servers had no room for work that may wait; "
                "retry later.",
                step=errors.Step.ADMIT,
                status=503,
                retry_after_s=_HELD_RETRY_S,
            )
        return True

    def _pick_for_class(
        self, candidates: Sequence[model.BackendServer]
    ) -> model.BackendServer:
        tried = frozenset(self._tried)
        if self._request_class.may_wait_s > 0.0:
            server = self._services.pool.pick_with_room(
                candidates, tried, self._request_class
            )
            if server is not None:
                return server
        policy = execution.read_in_force(self._services).document.policy
        return self._pick(
            candidates,
            tried,
            self._stage.full_name,
            long=self._request_class.long,
            queue_share=policy.queue_share,
        )

    def _describe_work(self) -> str:
        # The first byte of a whole answer comes when it is complete.
        form = "stream" if self._request.stream else "whole"
        return f"{self._stage.full_name} {self._request_class.name} {form}"

    def _check_dispatch(self, in_force: services.InForce) -> None:
        """Checks right before each dispatch, as the process may have paused."""
        loop = asyncio.get_running_loop()
        if loop.time() >= self._deadline:
            raise attempts.build_deadline_error(
                errors.Step.ROUTE, "", errors.Execution.NOT_RUN
            )
        self._services.permit.check()
        document = in_force.document
        account = self._get_account(document)
        dispatch.check_version(document, account, self._stage, self._session)

    async def _run_stream(
        self,
        attempt: attempts.BackendAttempt,
        in_force: services.InForce,
    ) -> bool:
        checked = self._is_checked()
        relay = relays.EventRelay(
            attempt,
            self._request.include_usage,
            None if checked else self._make_sender(in_force),
        )
        async with attempt:
            await relay.run()
            await attempt.complete(relay.usage)
            attempt.offer_sample(bytes(relay.sample))
            accepted = not checked or await self._accept(
                attempt, bytes(relay.answer)
            )
        if not accepted:
            return False
        if not self._caller.started:
            self._caller.start_stream(self._build_headers(in_force))
        if relay.answer:
            await self._caller.send(bytes(relay.answer))
        await self._record(attempt)
        self._caller.finish_stream(relay.take_end(self._build_extra()))
        return True

    async def _run_whole(
        self,
        attempt: attempts.BackendAttempt,
        in_force: services.InForce,
    ) -> bool:
        async with attempt:
            body = await attempt.read_body()
            value = relays.parse_completion(attempt, body)
            await attempt.complete(events.parse_usage(value.get("usage")))
            attempt.offer_sample(body)
            if self._is_checked() and not await self._accept(attempt, body):
                return False
        await self._record(attempt)
        value[relays.EXTRA_FIELD] = self._build_extra()
        self._caller.finish(
            200,
            replies.JSON_TYPE,
            self._build_headers(in_force),
            json.dumps(value, separators=(",", ":")).encode(),
        )
        return True

    def _make_sender(self, in_force: services.InForce) -> relays.Send:
        async def send(event: bytes) -> None:
            if not self._caller.started:
                self._caller.start_stream(self._build_headers(in_force))
                self._count_first_event()
            await self._caller.send(event)

        return send

    def _count_first_event(self) -> None:
        taken_s = asyncio.get_running_loop().time() - self._received_s
        self._services.counters.record_timing(
            "request.first_event", taken_s * _MS_PER_S
        )

    def _is_checked(self) -> bool:
        assert self._plan is not None
        is_last = self._stage_index == len(self._plan.stages) - 1
        return self._services.check is not None and not is_last

    async def _accept(
        self, attempt: attempts.BackendAttempt, answer: bytes
    ) -> bool:
        assert self._services.check is not None
        stage = self._stage
        candidate = services.CandidateAnswer(
            client_account=self._account_name,
            request_class=self._request_class,
            model=stage.model,
            version=stage.version.name,
            request=json.dumps(self._request.body).encode(),
            answer=answer,
            reaches_target=stage.version.quality.get(
                self._request_class.name, 0.0
            )
            >= self._request_class.quality_target,
        )
        accepted = await attempts.wait_until(
            self._services.check.accept(candidate),
            self._deadline,
            step=errors.Step.READ_ANSWER,
            execution=errors.Execution.RAN,
        )
        self._services.acceptance.record(
            self._request_class.name, stage.full_name, accepted
        )
        if not accepted:
            self._services.counters.increment("cascade.rejected")
            attempt.reject()
        return accepted

    async def _record(self, attempt: attempts.BackendAttempt) -> None:
        assert self._bill is not None
        await self._race.settle()
        self._bill.move_last(attempt.record)
        self._bill.begin_record(accounting.Outcome.COMPLETED)
        await self._bill.wait_recorded()

    def _start_stage(self, index: int) -> None:
        self._stage_index = index
        self._tried.clear()

    def _may_retry(self, error: errors.DragonflydykeError) -> bool:
        """Prepares the next attempt and returns whether there is one."""
        if self._caller.started:
            return False
        assert self._plan is not None
        has_next = self._stage_index + 1 < len(self._plan.stages)
        if error.code in _NO_SERVER_CODES:
            if has_next:
                self._start_stage(self._stage_index + 1)
            return has_next
        if error.step not in _BACKEND_STEPS or error.code in _FINAL_CODES:
            return False
        if not self._has_untried_server():
            if not has_next:
                return False
            self._start_stage(self._stage_index + 1)
        return self._spend_retry(error)

    def _has_untried_server(self) -> bool:
        in_force = execution.read_in_force(self._services)
        candidates = self._services.pool.candidates(
            in_force, self._stage.full_name
        )
        return self._services.pool.pick(candidates, self._tried) is not None

    def _spend_retry(self, error: errors.DragonflydykeError) -> bool:
        in_force = execution.read_in_force(self._services)
        if self._retries + 1 >= in_force.document.policy.max_attempts:
            return False
        if not self._services.retry_budget.try_spend():
            self._services.counters.increment("retry_budget.exhausted")
            return False
        self._retries += 1
        self._services.counters.increment(f"retry.{error.code}")
        return True

    def _build_request(
        self, server: model.BackendServer
    ) -> services.BackendRequest:
        body = self._request.encode_for_engine(
            self._stage.full_name, self._request_class
        )
        stream_id = f"{self._caller.request_id}-{execution.create_request_id()}"
        headers = {
            "Content-Type": replies.JSON_TYPE,
            replies.REQUEST_ID_HEADER: self._caller.request_id,
            backends.STREAM_ID_HEADER: stream_id,
        }
        return services.BackendRequest(server, "POST", _PATH, headers, body)

    def _build_headers(self, in_force: services.InForce) -> dict[str, str]:
        headers = {
            replies.VERSION_HEADER: self._stage.full_name,
            replies.REVISION_HEADER: str(in_force.revision),
        }
        if self._request.options.session == requests.SESSION_NEW:
            self._session_token = self._issue_token(in_force)
        if self._session_token:
            headers[replies.SESSION_HEADER] = self._session_token
        return headers

    def _issue_token(self, in_force: services.InForce) -> str:
        session = sessions.Session(
            client_account=self._account_name,
            session_id=execution.create_request_id(),
            model=self._stage.model,
            version=self._stage.version.name,
            started_at_ms=int(time.time() * _MS_PER_S),
        )
        return self._services.sessions.issue(in_force.key_ring, session)

    def _build_extra(self) -> dict[str, Any]:
        assert self._bill is not None
        return {
            "request_id": self._caller.request_id,
            "version": self._stage.full_name,
            "cost": self._bill.cost(),
            "bill_id": self._bill.bill_id,
        }


def _find_class(document: model.Document, name: str) -> model.RequestClass:
    found = document.request_class(name)
    if found is None:
        requests.refuse(
            "unknown_class",
            f"There is no request class {name}; use one of "
            f"{', '.join(entry.name for entry in document.classes)}.",
            field=requests.CLASS_HEADER,
        )
    return found
