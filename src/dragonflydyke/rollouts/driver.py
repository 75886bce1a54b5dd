"""Advances rollouts and sends engine orders while this router has the lease."""

import asyncio
import dataclasses
import time
from collections.abc import Iterable
from typing import Protocol

from dragonflydyke import errors, logs, metrics, objects
from dragonflydyke.configuration import model
from dragonflydyke.rollouts import decisions, lease, orders
from dragonflydyke.rollouts import model as rollout_model

CONTROL_KIND = "control"
ROUND_INTERVAL_S = 1.0
# The versions that an engine has loaded change rarely.
ENGINE_CHECK_INTERVAL_S = 5.0
# Each call costs 1 ms and 1.6 kB: checking 700 engines every five seconds would
# use 14 % of a core.
_MAX_ENGINES_PER_ROUND = 4
_MS_PER_S = 1_000

_log = logs.get_logger("rollouts.driver")


class RolloutView(Protocol):
    """Fleet-wide information that the driver needs."""

    def document(self) -> model.Document | None:
        """Returns the configuration in force, or None before the first."""

    def sample(self, roll_out: str, version: str) -> decisions.VersionSample:
        """Returns the fleet-wide evidence on the new version of a rollout."""

    def find_known_state(
        self, roll_out: str
    ) -> rollout_model.RolloutState | None:
        """Returns the state of a rollout in force on this router, if any."""


class EngineControl(Protocol):
    """Reads what engines have loaded and sends them orders."""

    async def read_loaded(self, server: model.BackendServer) -> Iterable[str]:
        """Returns the `model@version` names that an engine has loaded."""

    async def send_order(self, order: orders.Order, fencing: int) -> None:
        """Sends one order with the fencing token of the lease."""


@dataclasses.dataclass(slots=True, frozen=True)
class _EngineCheck:
    """Last check of an engine.

    Attributes:
        at_s: Loop time at which its loaded versions were read.
        serves: Versions that the configuration listed for it then.
    """

    at_s: float
    serves: tuple[str, ...]


class RolloutDriver:
    """Runs the periodic work of the lease holder; idle on all other routers."""

    __slots__ = (
        "_counters",
        "_engine_checks",
        "_engines",
        "_last_errors",
        "_lease",
        "_next_maintenance_at_s",
        "_objects",
        "_task",
        "_view",
        "_vm",
    )

    def __init__(
        self,
        vm: str,
        rollout_lease: lease.Lease,
        store: objects.ObjectStore,
        view: RolloutView,
        engines: EngineControl,
        counters: metrics.Counters,
    ) -> None:
        self._vm = vm
        self._lease = rollout_lease
        self._objects = store
        self._view = view
        self._engines = engines
        self._counters = counters
        self._engine_checks: dict[str, _EngineCheck] = {}
        # Codes of the last errors by rollout, so that each is logged once.
        self._last_errors: dict[str, str] = {}
        self._next_maintenance_at_s = 0.0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts the periodic rounds."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stops the rounds and releases the lease."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._lease.release()

    async def run_round(self) -> None:
        """Maintains the lease and, if it is held, does the holder's work.

        The lease holder decides on each rollout and sends orders to engines.
        """
        if not await self._maintain_lease():
            return
        document = self._view.document()
        if document is None:
            return
        for roll_out in document.roll_outs:
            if not self._lease.is_valid():
                return
            await self._try_advance(roll_out)
        await self._send_due_orders(document)

    async def _run(self) -> None:
        while True:
            try:
                await self.run_round()
            except errors.DragonflydykeError as error:
                self._counters.increment(f"roll_out.error.{error.code}")
            except Exception:
                # An unexpected error in one round must not end all rollouts.
                self._counters.increment("roll_out.fault")
                _log.exception("unexpected error in a round of the driver")
            await asyncio.sleep(ROUND_INTERVAL_S)

    async def _try_advance(self, roll_out: model.Rollout) -> None:
        """Advances a rollout; an error does not concern the others."""
        try:
            await self._advance(roll_out)
        except errors.DragonflydykeError as error:
            self._counters.increment(f"roll_out.error.{error.code}")
            if self._last_errors.get(roll_out.name) == error.code:
                return
            self._last_errors[roll_out.name] = error.code
            _log.warning(
                "rollout cannot advance",
                roll_out=roll_out.name,
                code=error.code,
                cause=error.message,
            )
        else:
            self._last_errors.pop(roll_out.name, None)

    async def _maintain_lease(self) -> bool:
        """Returns whether the lease is held; reads or renews it when due."""
        now_s = asyncio.get_running_loop().time()
        if now_s < self._next_maintenance_at_s:
            return self._lease.is_valid()
        # Limits the load on the platform: every router of the fleet reads the
        # lease at this interval.
        self._next_maintenance_at_s = now_s + lease.RENEWAL_INTERVAL_S
        return await self._lease.maintain()

    async def _advance(self, roll_out: model.Rollout) -> None:
        name = f"rollout.{roll_out.name}"
        stored = await self._objects.get(CONTROL_KIND, name)
        state = None
        if stored is not None:
            state = rollout_model.parse_state(roll_out.name, stored.value)
        known = self._view.find_known_state(roll_out.name)
        if known is not None and (state is None or state.is_behind(known)):
            # The platform was restored from a copy; the routers write the later
            # state again.
            self._counters.increment("roll_out.platform_behind")
            return
        if stored is None or state is None:
            await self._write(name, self._build_initial_state(roll_out), None)
            return
        sample = self._view.sample(roll_out.name, roll_out.to_version)
        decided = decisions.decide_next_state(
            roll_out, state, sample, int(time.time() * _MS_PER_S)
        )
        if decided is None:
            return
        fencing = self._lease.fencing_token
        errors.check_invariant(
            fencing >= state.fencing,
            f"fencing token {fencing} of the lease holder is older than token"
            f" {state.fencing} of rollout {roll_out.name}",
        )
        attributed = dataclasses.replace(
            decided, decided_by=self._vm, fencing=fencing
        )
        await self._write(name, attributed, stored.version)

    def _build_initial_state(
        self, roll_out: model.Rollout
    ) -> rollout_model.RolloutState:
        return rollout_model.RolloutState(
            name=roll_out.name,
            phase=rollout_model.RolloutPhase.RUNNING,
            step=0,
            since_ms=int(time.time() * _MS_PER_S),
            decided_by=self._vm,
            fencing=self._lease.fencing_token,
        )

    async def _write(
        self,
        name: str,
        state: rollout_model.RolloutState,
        version: int | None,
    ) -> None:
        value = state.to_mapping()
        try:
            if version is None:
                await self._objects.create(CONTROL_KIND, name, value)
            else:
                await self._objects.update(CONTROL_KIND, name, value, version)
        except objects.ConflictError:
            # Another lease holder decided first; the next round reads its
            # decision.
            self._counters.increment("roll_out.conflict")
            return
        self._counters.increment(f"roll_out.{state.phase.value}")
        _log.notice(
            "rollout state changed",
            roll_out=state.name,
            state=state.phase.value,
            step=state.step,
            reason=state.reason,
        )

    async def _send_due_orders(self, document: model.Document) -> None:
        engines = self._select_due_engines(document)
        await asyncio.gather(
            *(self._send_orders(document, server) for server in engines)
        )

    def _select_due_engines(
        self, document: model.Document
    ) -> list[model.BackendServer]:
        """Returns the engines to check in this round.

        Engines whose configured versions changed come first, then those whose
        last check is oldest. In a small fleet every engine is checked every
        ENGINE_CHECK_INTERVAL_S; with more than 20 engines it takes longer.
        """
        now_s = asyncio.get_running_loop().time()
        engines = {
            server.name: server
            for server in document.backend_servers
            if server.kind is model.ServerKind.ENGINE
        }
        checks = {n: c for n, c in self._engine_checks.items() if n in engines}
        due = [
            (checks[name].serves == server.serves, checks[name].at_s, name)
            if name in checks
            else (False, 0.0, name)
            for name, server in engines.items()
            if name not in checks
            or checks[name].serves != server.serves
            or now_s - checks[name].at_s >= ENGINE_CHECK_INTERVAL_S
        ]
        selected = [
            engines[n] for *_, n in sorted(due)[:_MAX_ENGINES_PER_ROUND]
        ]
        for server in selected:
            checks[server.name] = _EngineCheck(now_s, server.serves)
        self._engine_checks = checks
        return selected

    async def _send_orders(
        self, document: model.Document, server: model.BackendServer
    ) -> None:
        try:
            loaded = await self._engines.read_loaded(server)
            for order in orders.plan_orders(document, server, loaded):
                await self._engines.send_order(order, self._lease.fencing_token)
                self._counters.increment(f"order.{order.kind.value}")
        except errors.DragonflydykeError as error:
            self._counters.increment(f"order.error.{error.code}")
