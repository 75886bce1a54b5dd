"""Execution of calls to plain services."""

import asyncio
import dataclasses
import hashlib
from collections.abc import Mapping
from typing import NoReturn

from dragonflydyke import errors, idempotency
from dragonflydyke.configuration import model
from dragonflydyke.gateway import (
    accounting,
    attempts,
    execution,
    requests,
    responses,
    services,
)
from dragonflydyke.gateway.response_writer import ResponseWriter

_MAX_BILLED_STATUS = 499
_DEFAULT_CONTENT_TYPE = "application/octet-stream"


@dataclasses.dataclass(slots=True, frozen=True)
class CallRequest:
    """A call to an operation of a plain service."""

    service: str
    operation: str
    method: str
    query: str
    content_type: str
    body: bytes
    options: requests.Options

    def compute_digest(self) -> str:
        """Returns a digest of everything that is sent to the service."""
        head = f"{self.method}\0{self.query}\0{self.content_type}\0".encode()
        return hashlib.sha256(head + self.body).hexdigest()


@dataclasses.dataclass(slots=True, frozen=True)
class _Response:
    status: int
    content_type: str
    body: bytes


class CallExecution(execution.RequestExecution):
    """Relays a call; a non-idempotent call is dispatched at most once."""

    __slots__ = (
        "_call_task",
        "_operation",
        "_request",
        "_retries",
        "_tried_servers",
    )

    def __init__(
        self,
        gateway_services: services.GatewayServices,
        response_writer: ResponseWriter,
        account: str,
        received_s: float,
        request: CallRequest,
    ) -> None:
        """Creates an execution; see the base class."""
        super().__init__(gateway_services, response_writer, account, received_s)
        self._request = request
        self._operation: model.Operation | None = None
        self._tried_servers: set[str] = set()
        self._retries = 0
        self._call_task: asyncio.Task[None] | None = None

    async def _serve(self) -> None:
        self._admit()
        if self._get_operation().repeatable:
            response = await self._call_with_retries()
            await self._record_bill(response)
            self._respond(response)
            return
        # When the client disconnects, the call still runs to completion and
        # its response is stored. Otherwise the outcome would stay unknown, and
        # a request with the same key could not get the response.
        self._call_task = asyncio.ensure_future(self._serve_at_most_once())
        try:
            await asyncio.shield(self._call_task)
        except asyncio.CancelledError:
            await self._call_task

    def _get_operation(self) -> model.Operation:
        assert self._operation is not None
        return self._operation

    def _admit(self) -> None:
        in_force = execution.read_in_force(self._services)
        self._services.permit.check()
        account = self._get_account(in_force.document)
        self._operation = find_operation(
            in_force.document, account, self._request
        )
        options = self._request.options
        timeout_s = options.deadline_s or self._operation.timeout_s
        self._set_deadline(timeout_s)
        if not self._operation.repeatable and not options.idempotency_key:
            requests.reject(
                "idempotency_key_required",
                "This operation runs at most once and requires the header "
                "Idempotency-Key; send it.",
                field=requests.IDEMPOTENCY_HEADER,
            )
        self._admission = self._services.limiter.admit(account, 0)
        self._bill = self._create_bill(
            in_force.revision,
            "",
            options.idempotency_key,
            self._request.compute_digest(),
        )
        share = in_force.document.policy.retry_budget_share
        self._services.retry_budget.record_request(share)

    async def _serve_at_most_once(self) -> None:
        # The call is claimed before a server is selected, so that a stored
        # response is replayed even when all servers are at capacity.
        claim = await self._claim()
        if claim.replay is not None:
            self._replay(claim.replay)
            return
        try:
            response = await self._call_server(claim)
        except errors.DragonflydykeError as error:
            not_run = error.execution is errors.Execution.NOT_RUN
            if not_run and not claim.is_finalized:
                await self._abandon(claim)
            raise
        # A replay creates no bill of its own, so the response is stored only
        # after the bill of this call is durable.
        await self._record_bill(response)
        await self._store_response(claim, response)
        self._respond(response)

    async def _claim(self) -> idempotency.Claim:
        # Not cancelled at the deadline: an unfinished claim would block the
        # key.
        return await self._services.claims.claim(
            self._account_name,
            self._request.service,
            self._request.operation,
            self._request.options.idempotency_key,
            self._request.compute_digest(),
            self._get_operation().timeout_s,
        )

    async def _abandon(self, claim: idempotency.Claim) -> None:
        try:
            await self._services.claims.abandon(claim)
        except errors.DragonflydykeError:
            # The key stays blocked, which is safe. The client still receives
            # the error that states that the call did not run.
            self._services.counters.increment("claim.abandon_failed")

    async def _store_response(
        self, claim: idempotency.Claim, response: _Response
    ) -> None:
        try:
            await self._services.claims.finish(
                claim, response.status, response.content_type, response.body
            )
        except errors.DragonflydykeError:
            # The call ran, so its response is delivered even if not stored.
            self._services.counters.increment("claim.finish_failed")

    def _replay(self, stored: idempotency.StoredResponse) -> None:
        self._services.counters.increment("call.replayed")
        headers = {}
        if not stored.is_body_stored:
            headers[idempotency.REPLAY_HEADER] = idempotency.BODY_NOT_STORED
        content_type = stored.content_type or _DEFAULT_CONTENT_TYPE
        self._response_writer.finish(
            stored.status, content_type, headers, stored.body
        )

    async def _call_with_retries(self) -> _Response:
        while True:
            try:
                return await self._call_server()
            except errors.DragonflydykeError as error:
                if not self._prepare_retry(error):
                    raise

    async def _call_server(
        self, claim: idempotency.Claim | None = None
    ) -> _Response:
        """Sends the call to one server and returns the response.

        Args:
            claim: Claim of a non-idempotent call, None for others.
        """
        operation = self._get_operation()
        errors.check_invariant(
            operation.repeatable or not self._tried_servers,
            f"{self._response_writer.request_id} dispatches "
            f"{operation.name} twice",
        )
        server = self._select_server()
        self._check_dispatch()
        if claim is not None:
            await self._services.claims.start_dispatch(claim, self._deadline)
        self._tried_servers.add(server.name)
        assert self._bill is not None
        attempt = attempts.BackendAttempt(
            self._services,
            self._bill,
            server,
            self._find_candidates(),
            names=(self._request.service, operation.name),
            price=operation.price,
            deadline=self._deadline,
            server_fault_after_s=operation.timeout_s,
            work_kind=f"{self._request.service} {operation.name}",
        )
        async with attempt:
            backend_response = await attempt.open(self._build_request(server))
            body = await attempt.read_body()
            await attempt.complete(None)
        content_type = _find_content_type(backend_response.headers)
        return _Response(backend_response.status, content_type, body)

    def _find_candidates(self) -> tuple[model.BackendServer, ...]:
        in_force = execution.read_in_force(self._services)
        return self._services.pool.list_candidates(
            in_force, self._request.service
        )

    def _select_server(self) -> model.BackendServer:
        return self._select_server_with_admission(
            self._find_candidates(),
            frozenset(self._tried_servers),
            self._request.service,
        )

    def _check_dispatch(self) -> None:
        """Checks whether the call may still be sent, right before dispatch.

        The process may have been paused since the admission.
        """
        if asyncio.get_running_loop().time() >= self._deadline:
            raise attempts.build_deadline_error(
                errors.Step.ROUTE, "", errors.Execution.NOT_RUN
            )
        self._services.permit.check()
        document = execution.read_in_force(self._services).document
        find_operation(document, self._get_account(document), self._request)

    def _prepare_retry(self, error: errors.DragonflydykeError) -> bool:
        if error.step not in (
            errors.Step.CONNECT,
            errors.Step.SEND,
            errors.Step.AWAIT_ANSWER,
            errors.Step.READ_ANSWER,
        ) or error.code in ("deadline_exceeded", "answer_too_long"):
            return False
        in_force = execution.read_in_force(self._services)
        if self._retries + 1 >= in_force.document.policy.max_attempts:
            return False
        if (
            self._services.pool.select_server(
                self._find_candidates(), self._tried_servers
            )
            is None
        ):
            return False
        if not self._services.retry_budget.try_spend():
            self._services.counters.increment("retry_budget.exhausted")
            return False
        self._retries += 1
        self._services.counters.increment(f"retry.{error.code}")
        return True

    async def _record_bill(self, response: _Response) -> None:
        assert self._bill is not None
        outcome = accounting.Outcome.COMPLETED
        if response.status > _MAX_BILLED_STATUS:
            outcome = accounting.Outcome.FAILED
        self._bill.start_recording(outcome)
        await self._bill.wait_until_recorded()

    def _respond(self, response: _Response) -> None:
        in_force = execution.read_in_force(self._services)
        headers = {responses.REVISION_HEADER: str(in_force.revision)}
        self._response_writer.finish(
            response.status, response.content_type, headers, response.body
        )

    def _build_request(
        self, server: model.BackendServer
    ) -> services.BackendRequest:
        operation = self._get_operation()
        headers = {
            responses.REQUEST_ID_HEADER: self._response_writer.request_id
        }
        if self._request.body:
            headers["Content-Type"] = self._request.content_type
        key = self._request.options.idempotency_key
        if key:
            headers[requests.IDEMPOTENCY_HEADER] = key
        query = f"?{self._request.query}" if self._request.query else ""
        return services.BackendRequest(
            server,
            operation.method,
            operation.path + query,
            headers,
            self._request.body,
        )


def find_operation(
    document: model.Document,
    account: model.ClientAccount,
    request: CallRequest,
) -> model.Operation:
    """Returns the operation that a call refers to.

    Raises:
        DragonflydykeError: If the service or operation is unknown, the account
            has no access, or the operation does not accept the method or a
            body; not run.
    """
    service = document.service(request.service)
    if service is None:
        _reject_call("unknown_service", f"no service {request.service}", 404)
    if service.name not in account.services:
        _reject_call("service_not_allowed", f"no access to {service.name}", 403)
    operation = service.operation(request.operation)
    if operation is None:
        name = f"{service.name}/{request.operation}"
        _reject_call("unknown_operation", f"no operation {name}", 404)
    if request.method == "GET" and operation.method != "GET":
        _reject_call("method_not_allowed", f"no GET of {operation.name}", 405)
    if operation.method == "GET" and request.body:
        _reject_call("body_not_allowed", f"no body for {operation.name}", 400)
    return operation


def _find_content_type(headers: Mapping[str, str]) -> str:
    for name, value in headers.items():
        if name.lower() == "content-type":
            return value
    return _DEFAULT_CONTENT_TYPE


def _reject_call(code: str, missing: str, status: int) -> NoReturn:
    raise errors.DragonflydykeError(
        code,
        f"There is {missing}; see docs/api.md for the available calls.",
        step=errors.Step.ROUTE,
        status=status,
    )
