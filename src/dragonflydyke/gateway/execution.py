"""The life of a request from its parsed form to its end."""

import asyncio
import uuid
from collections.abc import Sequence

from dragonflydyke import errors, logs
from dragonflydyke.configuration import model
from dragonflydyke.gateway import accounting, services
from dragonflydyke.gateway.caller import Caller, CallerGoneError

_NOT_CONFIRMED_RETRY_S = 1.0
_NO_SERVER_RETRY_S = 1.0
_MS_PER_S = 1_000

_LOGGER = logs.get_logger("gateway")


def create_request_id() -> str:
    """Returns a new, random request id."""
    return uuid.uuid4().hex


def read_in_force(
    gateway_services: services.GatewayServices,
) -> services.InForce:
    """Returns what is in force.

    Raises:
        DragonflydykeError: `not_confirmed` before the first configuration.
    """
    current = gateway_services.state.current
    if current is None:
        raise errors.DragonflydykeError(
            "not_confirmed",
            "This router has no configuration yet; retry at another router.",
            step=errors.Step.ADMIT,
            status=503,
            retry_after_s=_NOT_CONFIRMED_RETRY_S,
        )
    return current


class Execution:
    """Shell of a request: errors, cancellation and the one bill.

    Subclasses implement `_serve`, which answers the caller, and create
    `_bill` before they dispatch anything.
    """

    def __init__(
        self,
        gateway_services: services.GatewayServices,
        caller: Caller,
        account: str,
        received_s: float,
    ) -> None:
        """Creates an execution.

        Args:
            gateway_services: Components of the gateway.
            caller: Where the response goes.
            account: Name of the authenticated client account.
            received_s: Loop time at which the headers were received.
        """
        self._services = gateway_services
        self._caller = caller
        self._account_name = account
        self._received_s = received_s
        self._deadline = received_s
        self._bill: accounting.BillDraft | None = None
        self._admission: services.Admission | None = None

    async def run(self) -> None:
        """Serves the request; reports every failure to the caller."""
        with self._services.tracker:
            try:
                await self._serve()
            except (asyncio.CancelledError, CallerGoneError):
                await self._settle(accounting.Outcome.CANCELLED)
            except errors.DragonflydykeError as error:
                await self._fail(error)
            except Exception as error:
                await self._fail_unexpected(error)
            finally:
                self._release()
                self._count_duration()
        self._check_billed()

    async def _serve(self) -> None:
        raise NotImplementedError

    def _set_deadline(self, timeout_s: float) -> None:
        self._deadline = self._received_s + timeout_s
        self._caller.deadline = self._deadline

    def _get_account(self, document: model.Document) -> model.ClientAccount:
        account = document.account(self._account_name)
        if account is None:
            raise errors.DragonflydykeError(
                "invalid_key",
                "The client account was removed; ask its operator.",
                step=errors.Step.AUTHENTICATE,
                status=401,
            )
        return account

    def _create_bill(
        self, revision: int, request_class: str, key: str, digest: str
    ) -> accounting.BillDraft:
        request_id = self._caller.request_id
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

    def _pick(
        self,
        candidates: Sequence[model.BackendServer],
        tried: frozenset[str],
        served: str,
        *,
        long: bool = False,
        queue_share: float = 1.0,
    ) -> model.BackendServer:
        server = self._services.pool.pick(candidates, tried)
        if server is None:
            raise errors.DragonflydykeError(
                "no_backend_server",
                f"No backend server for {served} takes work; retry later.",
                step=errors.Step.ROUTE,
                status=503,
                retry_after_s=_NO_SERVER_RETRY_S,
            )
        remaining_s = self._deadline - asyncio.get_running_loop().time()
        self._services.pool.check_admission(
            server, remaining_s, long=long, queue_share=queue_share
        )
        return server

    async def _settle(self, outcome: accounting.Outcome) -> None:
        bill = self._bill
        if bill is None or not bill.attempts:
            return
        if not bill.recorded:
            bill.begin_record(outcome)
        try:
            await bill.wait_recorded()
        except Exception as error:
            self._services.counters.increment("bill.record_failed")
            _LOGGER.error(
                "bill was not recorded",
                bill_id=bill.bill_id,
                error=repr(error),
            )

    async def _fail(self, error: errors.DragonflydykeError) -> None:
        self._correct_execution(error)
        bill = self._bill
        if bill is not None and bill.attempts and not bill.recorded:
            bill.begin_record(accounting.Outcome.FAILED)
        # A bill without cost is not worth delaying the error until it is safe.
        self._caller.fail(error)
        await self._settle(accounting.Outcome.FAILED)

    async def _fail_unexpected(self, error: Exception) -> None:
        self._services.counters.increment("request.internal_error")
        _LOGGER.error(
            "request failed by a fault of the program",
            exc_info=(type(error), error, error.__traceback__),
            request_id=self._caller.request_id,
        )
        await self._fail(
            errors.DragonflydykeError(
                "internal_error",
                "A fault of the router; report it with the request id.",
                step=errors.Step.ROUTE,
                status=500,
            )
        )

    def _correct_execution(self, error: errors.DragonflydykeError) -> None:
        """Covers earlier attempts: they may have run though this one not."""
        attempts = self._bill.attempts if self._bill else []
        if error.execution is not errors.Execution.NOT_RUN or not attempts:
            return
        error.execution = errors.Execution.UNKNOWN
        answered = (accounting.Outcome.REJECTED, accounting.Outcome.COMPLETED)
        if any(attempt.outcome in answered for attempt in attempts):
            error.execution = errors.Execution.RAN

    def _check_billed(self) -> None:
        bill = self._bill
        errors.check_invariant(
            bill is None or bill.recorded == bool(bill.attempts),
            f"{self._caller.request_id} was dispatched and not billed",
        )

    def _count_duration(self) -> None:
        taken_s = asyncio.get_running_loop().time() - self._received_s
        self._services.counters.record_timing(
            "request.duration", taken_s * _MS_PER_S
        )

    def _release(self) -> None:
        if self._admission is None:
            return
        attempts = self._bill.attempts if self._bill else []
        self._admission.release(
            sum(a.prompt_tokens + a.completion_tokens for a in attempts)
        )
