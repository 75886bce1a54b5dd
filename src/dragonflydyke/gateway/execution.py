"""Execution of a parsed request: errors, cancellation and billing."""

import asyncio
import uuid
from collections.abc import Sequence

from dragonflydyke import errors, logs
from dragonflydyke.configuration import model
from dragonflydyke.gateway import accounting, services
from dragonflydyke.gateway.response_writer import (
    ClientDisconnectedError,
    ResponseWriter,
)

_NOT_CONFIRMED_RETRY_S = 1.0
_NO_SERVER_RETRY_S = 1.0
_MS_PER_S = 1_000

_LOGGER = logs.get_logger("gateway")


def create_request_id() -> str:
    """Returns a random request id."""
    return uuid.uuid4().hex


def read_in_force(
    gateway_services: services.GatewayServices,
) -> services.InForce:
    """Returns the configuration and other state in force.

    Raises:
        DragonflydykeError: `not_confirmed` before the router has received its
            first configuration.
    """
    in_force = gateway_services.state.current
    if in_force is None:
        raise errors.DragonflydykeError(
            "not_confirmed",
            "This router has no configuration yet; retry at another router.",
            step=errors.Step.ADMIT,
            status=503,
            retry_after_s=_NOT_CONFIRMED_RETRY_S,
        )
    return in_force


class RequestExecution:
    """Base class for executing a request.

    It reports errors to the client, handles cancellation and ensures that a
    dispatched request is billed exactly once. Subclasses implement `_serve`,
    which sends the response, and create `_bill` before the first dispatch.
    """

    __slots__ = (
        "_account_name",
        "_admission",
        "_bill",
        "_deadline",
        "_received_s",
        "_response_writer",
        "_services",
    )

    def __init__(
        self,
        gateway_services: services.GatewayServices,
        response_writer: ResponseWriter,
        account: str,
        received_s: float,
    ) -> None:
        """Creates an execution.

        Args:
            gateway_services: Components of the gateway.
            response_writer: Sends the response to the client.
            account: Name of the authenticated client account.
            received_s: Loop time at which the headers were received.
        """
        self._services = gateway_services
        self._response_writer = response_writer
        self._account_name = account
        self._received_s = received_s
        self._deadline = received_s
        self._bill: accounting.BillDraft | None = None
        self._admission: services.Admission | None = None

    async def run(self) -> None:
        """Executes the request and reports any error to the client.

        Raises:
            InvariantError: If a dispatched request was not billed.
        """
        with self._services.tracker:
            try:
                await self._serve()
            except (asyncio.CancelledError, ClientDisconnectedError):
                await self._finish_bill(accounting.Outcome.CANCELLED)
            except errors.DragonflydykeError as error:
                await self._fail(error)
            except Exception as error:
                await self._fail_unexpected(error)
            finally:
                self._release_admission()
                self._record_duration()
        self._check_billed()

    async def _serve(self) -> None:
        raise NotImplementedError

    def _set_deadline(self, timeout_s: float) -> None:
        self._deadline = self._received_s + timeout_s
        self._response_writer.deadline = self._deadline

    def _get_account(self, document: model.Document) -> model.ClientAccount:
        account = document.account(self._account_name)
        if account is None:
            raise errors.DragonflydykeError(
                "invalid_key",
                "The client account was removed; contact the operator.",
                step=errors.Step.AUTHENTICATE,
                status=401,
            )
        return account

    def _create_bill(
        self, revision: int, request_class: str, key: str, digest: str
    ) -> accounting.BillDraft:
        request_id = self._response_writer.request_id
        return accounting.BillDraft(
            self._services,
            request_id=request_id,
            bill_id=accounting.compute_bill_id(
                self._account_name, key, digest, request_id
            ),
            account=self._account_name,
            request_class=request_class,
            revision=revision,
        )

    def _select_server_with_admission(
        self,
        candidates: Sequence[model.BackendServer],
        tried: frozenset[str],
        service_name: str,
        *,
        long: bool = False,
        queue_share: float = 1.0,
    ) -> model.BackendServer:
        server = self._services.pool.select_server(candidates, tried)
        if server is None:
            raise errors.DragonflydykeError(
                "no_backend_server",
                f"No backend server for {service_name} is available; "
                "retry later.",
                step=errors.Step.ROUTE,
                status=503,
                retry_after_s=_NO_SERVER_RETRY_S,
            )
        remaining_s = self._deadline - asyncio.get_running_loop().time()
        self._services.pool.check_admission(
            server, remaining_s, long=long, queue_share=queue_share
        )
        return server

    async def _finish_bill(self, outcome: accounting.Outcome) -> None:
        bill = self._bill
        if bill is None or not bill.attempts:
            return
        if not bill.is_recording_started:
            bill.start_recording(outcome)
        try:
            await bill.wait_until_recorded()
        except Exception as error:
            self._services.counters.increment("bill.record_failed")
            _LOGGER.error(
                "bill was not recorded",
                bill_id=bill.bill_id,
                error=repr(error),
            )

    async def _fail(self, error: errors.DragonflydykeError) -> None:
        self._include_earlier_attempts(error)
        bill = self._bill
        if bill is not None and bill.attempts and not bill.is_recording_started:
            bill.start_recording(accounting.Outcome.FAILED)
        # The bill of a failed request has no cost, so the error is sent without
        # waiting until the bill is durable.
        self._response_writer.fail(error)
        await self._finish_bill(accounting.Outcome.FAILED)

    async def _fail_unexpected(self, error: Exception) -> None:
        self._services.counters.increment("request.internal_error")
        _LOGGER.error(
            "request failed with an unexpected exception",
            exc_info=(type(error), error, error.__traceback__),
            request_id=self._response_writer.request_id,
        )
        await self._fail(
            errors.DragonflydykeError(
                "internal_error",
                "Internal error of the router; report it with the request id.",
                step=errors.Step.ROUTE,
                status=500,
            )
        )

    def _include_earlier_attempts(
        self, error: errors.DragonflydykeError
    ) -> None:
        """Corrects the stated execution by that of earlier attempts.

        They may have run although the last attempt did not.
        """
        attempts = self._bill.attempts if self._bill else []
        if error.execution is not errors.Execution.NOT_RUN or not attempts:
            return
        error.execution = errors.Execution.UNKNOWN
        executed_outcomes = (
            accounting.Outcome.REJECTED,
            accounting.Outcome.COMPLETED,
        )
        if any(attempt.outcome in executed_outcomes for attempt in attempts):
            error.execution = errors.Execution.RAN

    def _check_billed(self) -> None:
        bill = self._bill
        errors.check_invariant(
            bill is None or bill.is_recording_started == bool(bill.attempts),
            f"{self._response_writer.request_id} was dispatched but not billed",
        )

    def _record_duration(self) -> None:
        elapsed_s = asyncio.get_running_loop().time() - self._received_s
        self._services.counters.record_timing(
            "request.duration", elapsed_s * _MS_PER_S
        )

    def _release_admission(self) -> None:
        if self._admission is None:
            return
        attempts = self._bill.attempts if self._bill else []
        self._admission.release(
            sum(a.prompt_tokens + a.completion_tokens for a in attempts)
        )
