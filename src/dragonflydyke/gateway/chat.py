"""Execution of chat completions."""

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
    requests,
    responses,
    services,
)
from dragonflydyke.gateway.response_writer import ResponseWriter
from dragonflydyke.sessions import model as sessions

_COMPLETIONS_PATH = "/v1/chat/completions"
_MS_PER_S = 1_000
_QUEUE_TIMEOUT_RETRY_S = 10.0
_BACKEND_STEPS = frozenset(
    {
        errors.Step.CONNECT,
        errors.Step.SEND,
        errors.Step.AWAIT_ANSWER,
        errors.Step.READ_ANSWER,
    }
)
_NON_RETRYABLE_CODES = frozenset(
    {"backend_rejected", "deadline_exceeded", "answer_too_long"}
)
_NO_SERVER_CODES = frozenset({"no_backend_server", "overloaded"})


class ChatExecution(execution.RequestExecution):
    """Selects a model version and a server, relays the response and bills it.

    A plan has one or more stages, each a model version. The next stage is used
    when the quality check rejects the response of a stage of a cascade, or no
    server of a stage can be used.
    """

    __slots__ = (
        "_admitted_class",
        "_chat_request",
        "_hedged_attempts",
        "_plan",
        "_retries",
        "_session",
        "_session_token",
        "_stage_index",
        "_tried_servers",
    )

    def __init__(
        self,
        gateway_services: services.GatewayServices,
        response_writer: ResponseWriter,
        account: str,
        received_s: float,
        request: requests.ChatRequest,
    ) -> None:
        """Creates an execution; see the base class."""
        super().__init__(gateway_services, response_writer, account, received_s)
        self._chat_request = request
        self._admitted_class: model.RequestClass | None = None
        self._session: sessions.Session | None = None
        self._session_token = ""
        self._plan: routing.Plan | None = None
        self._stage_index = 0
        self._retries = 0
        self._tried_servers: set[str] = set()
        self._hedged_attempts = hedging.HedgedAttempts()

    @property
    def _stage(self) -> routing.Stage:
        assert self._plan is not None
        return self._plan.stages[self._stage_index]

    @property
    def _request_class(self) -> model.RequestClass:
        assert self._admitted_class is not None
        return self._admitted_class

    async def _serve(self) -> None:
        self._admit()
        try:
            await self._try_stages()
        finally:
            await self._hedged_attempts.wait_until_cancelled()

    async def _try_stages(self) -> None:
        while True:
            try:
                if await self._try_stage():
                    return
                self._start_stage(self._stage_index + 1)
            except errors.DragonflydykeError as error:
                if not self._prepare_retry(error):
                    raise

    def _admit(self) -> None:
        in_force = execution.read_in_force(self._services)
        self._services.permit.check()
        account = self._get_account(in_force.document)
        options = self._chat_request.options
        name = options.request_class or account.default_class
        self._admitted_class = _find_request_class(in_force.document, name)
        self._set_deadline(
            options.deadline_s or self._admitted_class.deadline_s
        )
        self._verify_session(in_force, options.session)
        self._plan = self._build_plan(in_force, account)
        self._admission = self._services.limiter.admit(
            account, self._chat_request.estimate_tokens(self._admitted_class)
        )
        self._bill = self._create_bill(
            in_force.revision,
            self._admitted_class.name,
            options.idempotency_key,
            self._chat_request.digest,
        )
        share = in_force.document.policy.retry_budget_share
        self._services.retry_budget.record_request(share)
        hedge_share = in_force.document.policy.hedge_budget_share
        self._services.hedge_budget.record_request(hedge_share)

    def _build_plan(
        self, in_force: services.InForce, account: model.ClientAccount
    ) -> routing.Plan:
        return routing.plan(
            in_force,
            account,
            self._chat_request.model,
            self._request_class,
            self._session,
            self._response_writer.request_id,
            suspension=self._services.version_counts,
            rates=self._services.acceptance if self._services.check else None,
        )

    def _update_plan(self, in_force: services.InForce) -> None:
        """Builds a new plan and continues at the stage of the current model.

        A version may have been withdrawn, or its rollout stopped, since the
        plan was built. The plan stays if the new one lacks the current model.
        """
        account = self._get_account(in_force.document)
        new_plan = self._build_plan(in_force, account)
        model_names = [stage.model for stage in new_plan.stages]
        if self._stage.model in model_names:
            self._stage_index = model_names.index(self._stage.model)
            self._plan = new_plan

    def _verify_session(self, in_force: services.InForce, token: str) -> None:
        if not token or token == requests.SESSION_NEW:
            return
        self._session = self._services.sessions.verify(
            in_force.key_ring, token, self._account_name
        )
        self._session_token = token

    async def _try_stage(self) -> bool:
        """Makes one attempt at the current stage.

        Returns:
            Whether the response was sent to the client; False if the quality
            check rejected it.
        """
        was_queued = await self._queue_for_capacity()
        in_force = execution.read_in_force(self._services)
        if self._retries or was_queued:
            self._update_plan(in_force)
        stage = self._stage
        candidates = self._services.pool.list_candidates(
            in_force, stage.full_name
        )
        server = self._select_server_for_class(candidates)
        self._check_dispatch(in_force)
        first = self._start_attempt(in_force, server, candidates)
        attempt = await self._hedged_attempts.run(
            first,
            lambda: self._start_hedge(in_force, candidates),
            self._compute_hedge_delay(in_force),
        )
        if self._chat_request.stream:
            return await self._relay_stream(attempt, in_force)
        return await self._relay_completion(attempt, in_force)

    def _start_attempt(
        self,
        in_force: services.InForce,
        server: model.BackendServer,
        candidates: Sequence[model.BackendServer],
    ) -> hedging.PreparedAttempt:
        self._tried_servers.add(server.name)
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
            server_fault_after_s=self._request_class.deadline_s,
            work_kind=self._format_work_kind(),
            long=self._request_class.long,
            roll_out=in_force.document.rollout_for_model(stage.model),
            max_resumes=in_force.document.policy.max_attempts
            - self._retries
            - 1,
        )
        return hedging.PreparedAttempt(attempt, self._build_request(server))

    def _compute_hedge_delay(self, in_force: services.InForce) -> float | None:
        """Returns the delay in seconds of a hedged attempt, None for never."""
        share = in_force.document.policy.hedge_budget_share
        if share <= 0.0 or self._request_class.long:
            return None
        return self._services.pool.compute_hedge_delay_s(
            self._format_work_kind()
        )

    def _start_hedge(
        self,
        in_force_at_plan: services.InForce,
        candidates: Sequence[model.BackendServer],
    ) -> hedging.PreparedAttempt | None:
        """Starts a hedged attempt at a server with capacity.

        Returns:
            The attempt, or None if the configuration has changed, no server
            has capacity, the request may not be dispatched any more, or the
            hedge budget is exhausted.
        """
        in_force = execution.read_in_force(self._services)
        if in_force.revision != in_force_at_plan.revision:
            return None
        server = self._services.pool.select_with_capacity(
            candidates, frozenset(self._tried_servers), self._request_class
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
        return self._start_attempt(in_force, server, candidates)

    async def _queue_for_capacity(self) -> bool:
        """Queues a request that may wait until a server has capacity.

        Returns:
            Whether the request was queued, for however short a time; False
            if its class may not wait.

        Raises:
            DragonflydykeError: `overloaded`, not run, if no server had
                capacity within the waiting time of the request class.
        """
        request_class = self._request_class
        if request_class.may_wait_s <= 0.0:
            return False
        in_force = execution.read_in_force(self._services)
        waiting_ends_s = self._received_s + request_class.may_wait_s
        has_capacity = await self._services.pool.wait_for_capacity(
            self._services.pool.list_candidates(
                in_force, self._stage.full_name
            ),
            frozenset(self._tried_servers),
            request_class,
            self._account_name,
            min(waiting_ends_s, self._deadline),
        )
        if not has_capacity:
            raise errors.DragonflydykeError(
                "overloaded",
                "No backend server had capacity within the waiting time of "
                "the request class; retry later.",
                step=errors.Step.ADMIT,
                status=503,
                retry_after_s=_QUEUE_TIMEOUT_RETRY_S,
            )
        return True

    def _select_server_for_class(
        self, candidates: Sequence[model.BackendServer]
    ) -> model.BackendServer:
        tried = frozenset(self._tried_servers)
        if self._request_class.may_wait_s > 0.0:
            server = self._services.pool.select_with_capacity(
                candidates, tried, self._request_class
            )
            if server is not None:
                return server
        policy = execution.read_in_force(self._services).document.policy
        return self._select_server_with_admission(
            candidates,
            tried,
            self._stage.full_name,
            long=self._request_class.long,
            queue_share=policy.queue_share,
        )

    def _format_work_kind(self) -> str:
        # The first byte of a response that is not streamed arrives only when
        # the response is complete, so the two forms are separate kinds.
        form = "stream" if self._chat_request.stream else "whole"
        return f"{self._stage.full_name} {self._request_class.name} {form}"

    def _check_dispatch(self, in_force: services.InForce) -> None:
        """Checks whether the request may still be sent, right before dispatch.

        The process may have been paused since the admission.
        """
        loop = asyncio.get_running_loop()
        if loop.time() >= self._deadline:
            raise attempts.build_deadline_error(
                errors.Step.ROUTE, "", errors.Execution.NOT_RUN
            )
        self._services.permit.check()
        document = in_force.document
        account = self._get_account(document)
        dispatch.check_version(document, account, self._stage, self._session)

    async def _relay_stream(
        self,
        attempt: attempts.BackendAttempt,
        in_force: services.InForce,
    ) -> bool:
        needs_check = self._needs_check()
        relay = relays.EventRelay(
            attempt,
            self._chat_request.include_usage,
            None if needs_check else self._build_event_sender(in_force),
        )
        async with attempt:
            await relay.run()
            await attempt.complete(relay.usage)
            attempt.offer_sample(bytes(relay.sample))
            accepted = not needs_check or await self._check_response(
                attempt, bytes(relay.unsent_events)
            )
        if not accepted:
            return False
        if not self._response_writer.started:
            self._response_writer.start_stream(self._build_headers(in_force))
        if relay.unsent_events:
            await self._response_writer.send(bytes(relay.unsent_events))
        await self._record_bill(attempt)
        self._response_writer.finish_stream(
            relay.build_stream_end(self._build_router_field())
        )
        return True

    async def _relay_completion(
        self,
        attempt: attempts.BackendAttempt,
        in_force: services.InForce,
    ) -> bool:
        async with attempt:
            body = await attempt.read_body()
            value = relays.parse_completion(attempt, body)
            await attempt.complete(events.parse_usage(value.get("usage")))
            attempt.offer_sample(body)
            if self._needs_check() and not await self._check_response(
                attempt, body
            ):
                return False
        await self._record_bill(attempt)
        value[relays.ROUTER_FIELD] = self._build_router_field()
        self._response_writer.finish(
            200,
            responses.JSON_TYPE,
            self._build_headers(in_force),
            json.dumps(value, separators=(",", ":")).encode(),
        )
        return True

    def _build_event_sender(
        self, in_force: services.InForce
    ) -> relays.SendFunction:
        async def send(event: bytes) -> None:
            if not self._response_writer.started:
                self._response_writer.start_stream(
                    self._build_headers(in_force)
                )
                self._record_first_event_time()
            await self._response_writer.send(event)

        return send

    def _record_first_event_time(self) -> None:
        elapsed_s = asyncio.get_running_loop().time() - self._received_s
        self._services.counters.record_timing(
            "request.first_event", elapsed_s * _MS_PER_S
        )

    def _needs_check(self) -> bool:
        assert self._plan is not None
        is_last = self._stage_index == len(self._plan.stages) - 1
        return self._services.check is not None and not is_last

    async def _check_response(
        self, attempt: attempts.BackendAttempt, response_body: bytes
    ) -> bool:
        assert self._services.check is not None
        stage = self._stage
        candidate = services.CandidateResponse(
            client_account=self._account_name,
            request_class=self._request_class,
            model=stage.model,
            version=stage.version.name,
            request=json.dumps(self._chat_request.body).encode(),
            response=response_body,
            meets_quality_target=stage.version.quality.get(
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

    async def _record_bill(self, attempt: attempts.BackendAttempt) -> None:
        assert self._bill is not None
        await self._hedged_attempts.wait_until_cancelled()
        self._bill.move_to_end(attempt.record)
        self._bill.start_recording(accounting.Outcome.COMPLETED)
        await self._bill.wait_until_recorded()

    def _start_stage(self, index: int) -> None:
        self._stage_index = index
        self._tried_servers.clear()

    def _prepare_retry(self, error: errors.DragonflydykeError) -> bool:
        """Prepares another attempt after an error.

        Moves to the next stage if the current one has no usable server left.

        Returns:
            Whether another attempt may be made; False if the response was
            started, the error is not retryable, or there is no server, attempt
            or budget left.
        """
        if self._response_writer.started:
            return False
        assert self._plan is not None
        has_next = self._stage_index + 1 < len(self._plan.stages)
        if error.code in _NO_SERVER_CODES:
            if has_next:
                self._start_stage(self._stage_index + 1)
            return has_next
        if (
            error.step not in _BACKEND_STEPS
            or error.code in _NON_RETRYABLE_CODES
        ):
            return False
        if not self._has_untried_server():
            if not has_next:
                return False
            self._start_stage(self._stage_index + 1)
        return self._try_spend_retry(error)

    def _has_untried_server(self) -> bool:
        in_force = execution.read_in_force(self._services)
        candidates = self._services.pool.list_candidates(
            in_force, self._stage.full_name
        )
        return (
            self._services.pool.select_server(candidates, self._tried_servers)
            is not None
        )

    def _try_spend_retry(self, error: errors.DragonflydykeError) -> bool:
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
        body = self._chat_request.encode_for_engine(
            self._stage.full_name, self._request_class
        )
        stream_id = (
            f"{self._response_writer.request_id}-"
            f"{execution.create_request_id()}"
        )
        headers = {
            "Content-Type": responses.JSON_TYPE,
            responses.REQUEST_ID_HEADER: self._response_writer.request_id,
            backends.STREAM_ID_HEADER: stream_id,
        }
        return services.BackendRequest(
            server, "POST", _COMPLETIONS_PATH, headers, body
        )

    def _build_headers(self, in_force: services.InForce) -> dict[str, str]:
        headers = {
            responses.VERSION_HEADER: self._stage.full_name,
            responses.REVISION_HEADER: str(in_force.revision),
        }
        if self._chat_request.options.session == requests.SESSION_NEW:
            self._session_token = self._issue_token(in_force)
        if self._session_token:
            headers[responses.SESSION_HEADER] = self._session_token
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

    def _build_router_field(self) -> dict[str, Any]:
        assert self._bill is not None
        return {
            "request_id": self._response_writer.request_id,
            "version": self._stage.full_name,
            "cost": self._bill.compute_cost(),
            "bill_id": self._bill.bill_id,
        }


def _find_request_class(
    document: model.Document, name: str
) -> model.RequestClass:
    found = document.request_class(name)
    if found is None:
        requests.reject(
            "unknown_class",
            f"There is no request class {name}; set it to one of "
            f"{', '.join(entry.name for entry in document.classes)}.",
            field=requests.CLASS_HEADER,
        )
    return found
