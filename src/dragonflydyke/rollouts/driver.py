"""Drives roll-outs and engine orders while this router holds the lease."""

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
# Loaded versions change rarely.
ORDER_INTERVAL_S = 5.0
# Each call takes 1 ms and 1.6 kB; asking all of 700 engines every five seconds
# would take 14 % of a core.
_ENGINES_PER_ROUND = 4
_MILLISECONDS_PER_S = 1_000

_log = logs.get_logger("rollouts.driver")


class RollOutView(Protocol):
    """What the driver needs to know of the fleet."""

    def document(self) -> model.Document | None:
        """Returns the configuration in force, or None before the first."""

    def sample(self, roll_out: str, version: str) -> decisions.VersionSample:
        """Returns the fleet-wide counts of the new version."""


class EngineControl(Protocol):
    """Reads what engines have loaded and sends them orders."""

    async def read_loaded(self, server: model.BackendServer) -> Iterable[str]:
        """Returns the `model@version` names that an engine has loaded."""

    async def send_order(self, order: orders.Order, fencing: int) -> None:
        """Sends one order with the fencing token of the lease."""


@dataclasses.dataclass(slots=True, frozen=True)
class _Ordered:
    """When an engine was asked for its versions, and what it had to serve."""

    at_s: float
    serves: tuple[str, ...]


class RollOutDriver:
    """Periodic work of the lease holder; idle on all other routers."""

    __slots__ = (
        "_counters",
        "_engines",
        "_lease",
        "_next_maintenance_at_s",
        "_objects",
        "_ordered",
        "_task",
        "_view",
        "_vm",
    )

    def __init__(
        self,
        vm: str,
        held_lease: lease.Lease,
        store: objects.ObjectStore,
        view: RollOutView,
        engines: EngineControl,
        counters: metrics.Counters,
    ) -> None:
        self._vm = vm
        self._lease = held_lease
        self._objects = store
        self._view = view
        self._engines = engines
        self._counters = counters
        self._ordered: dict[str, _Ordered] = {}
        self._next_maintenance_at_s = 0.0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts the periodic rounds."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stops the rounds and gives the lease up."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._lease.release()

    async def run_round(self) -> None:
        """Maintains the lease and, if it is held, decides and orders."""
        if not await self._maintain_lease():
            return
        document = self._view.document()
        if document is None:
            return
        for roll_out in document.roll_outs:
            await self._advance(roll_out)
        await self._order_engines(document)

    async def _run(self) -> None:
        while True:
            try:
                await self.run_round()
            except errors.DragonflydykeError as error:
                self._counters.increment(f"roll_out.error.{error.code}")
            await asyncio.sleep(ROUND_INTERVAL_S)

    async def _maintain_lease(self) -> bool:
        """Returns whether the lease is held; reads or renews it when due."""
        now_s = asyncio.get_running_loop().time()
        if now_s < self._next_maintenance_at_s:
            return self._lease.is_valid()
        # Every router of the fleet reads the lease at this interval.
        self._next_maintenance_at_s = now_s + lease.RENEWAL_INTERVAL_S
        return await self._lease.maintain()

    async def _advance(self, roll_out: model.Rollout) -> None:
        name = f"rollout.{roll_out.name}"
        stored = await self._objects.get(CONTROL_KIND, name)
        if stored is None:
            await self._write(name, self._initial_state(roll_out), None)
            return
        state = rollout_model.parse_state(roll_out.name, stored.value)
        sample = self._view.sample(roll_out.name, roll_out.to_version)
        decided = decisions.decide(
            roll_out, state, sample, int(time.time() * _MILLISECONDS_PER_S)
        )
        if decided is None:
            return
        fencing = self._lease.fencing
        errors.check_invariant(
            fencing >= state.fencing,
            f"fencing token {fencing} of the lease holder is older than"
            f" {state.fencing} of roll-out {roll_out.name}",
        )
        signed = dataclasses.replace(
            decided, decided_by=self._vm, fencing=fencing
        )
        await self._write(name, signed, stored.version)

    def _initial_state(
        self, roll_out: model.Rollout
    ) -> rollout_model.RollOutState:
        return rollout_model.RollOutState(
            name=roll_out.name,
            phase=rollout_model.RollOutPhase.RUNNING,
            step=0,
            since_ms=int(time.time() * _MILLISECONDS_PER_S),
            decided_by=self._vm,
            fencing=self._lease.fencing,
        )

    async def _write(
        self,
        name: str,
        state: rollout_model.RollOutState,
        version: int | None,
    ) -> None:
        value = state.to_mapping()
        try:
            if version is None:
                await self._objects.create(CONTROL_KIND, name, value)
            else:
                await self._objects.update(CONTROL_KIND, name, value, version)
        except objects.ConflictError:
            # Another holder decided first; the next round reads its decision.
            self._counters.increment("roll_out.conflict")
            return
        self._counters.increment(f"roll_out.{state.phase.value}")
        _log.notice(
            "roll-out decided",
            roll_out=state.name,
            state=state.phase.value,
            step=state.step,
            reason=state.reason,
        )

    async def _order_engines(self, document: model.Document) -> None:
        engines = self._take_due_engines(document)
        await asyncio.gather(
            *(self._order_engine(document, server) for server in engines)
        )

    def _take_due_engines(
        self, document: model.Document
    ) -> list[model.BackendServer]:
        """Returns engines with changed versions, then those asked longest ago.

        All engines of a small fleet are asked every ORDER_INTERVAL_S; with
        more than 20 engines a round trip through all of them takes longer.
        """
        now_s = asyncio.get_running_loop().time()
        engines = {
            server.name: server
            for server in document.backend_servers
            if server.kind is model.ServerKind.ENGINE
        }
        known = {n: o for n, o in self._ordered.items() if n in engines}
        due = [
            (known[name].serves == server.serves, known[name].at_s, name)
            if name in known
            else (False, 0.0, name)
            for name, server in engines.items()
            if name not in known
            or known[name].serves != server.serves
            or now_s - known[name].at_s >= ORDER_INTERVAL_S
        ]
        taken = [engines[n] for *_, n in sorted(due)[:_ENGINES_PER_ROUND]]
        for server in taken:
            known[server.name] = _Ordered(now_s, server.serves)
        self._ordered = known
        return taken

    async def _order_engine(
        self, document: model.Document, server: model.BackendServer
    ) -> None:
        try:
            loaded = await self._engines.read_loaded(server)
            for order in orders.plan_orders(document, server, loaded):
                await self._engines.send_order(order, self._lease.fencing)
                self._counters.increment(f"order.{order.kind.value}")
        except errors.DragonflydykeError as error:
            self._counters.increment(f"order.error.{error.code}")
