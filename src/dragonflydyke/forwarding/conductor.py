"""Carries roll-outs forward through conditional writes to the store."""

import asyncio
import dataclasses
import random
from typing import Protocol

from dragonflydyke import errors, logs, metrics
from dragonflydyke.forwarding import pace, rollouts
from dragonflydyke.objects import model as objects
from dragonflydyke.rollouts import decisions

_POLL_S = 0.25
# Spreads the writes of nodes that all see the same stage as due; the first
# one that succeeds spares the others theirs.
_MAX_DELAY_S = 0.5

_LOGGER = logs.get_logger("rollout")


@dataclasses.dataclass(slots=True, frozen=True)
class StoredRollout:
    """A roll-out as the store has it.

    Attributes:
        entry: Object in the store, for conditional writes.
        order: What the operator asked for.
        progress: What the nodes reported, None before the first report.
    """

    entry: objects.StoredObject
    order: rollouts.Order
    progress: rollouts.Progress | None


class RolloutStore(Protocol):
    """Where the progress of roll-outs is kept."""

    async def write_progress(
        self, stored: StoredRollout, progress: rollouts.Progress
    ) -> StoredRollout:
        """Replaces the progress of an unchanged object.

        Raises:
            DragonflydykeError: As a conditional write of the store.
        """


@dataclasses.dataclass(slots=True)
class _Local:
    """What this node knows of a roll-out beside the store.

    Attributes:
        stored: Newest state from the store.
        first_seen_s: Loop time at which the order was seen.
        delay_s: How much later than due this node acts.
        evidence: Own counts by route.
        reported: Failures that the store knows of.
    """

    stored: StoredRollout
    first_seen_s: float
    delay_s: float
    evidence: dict[str, rollouts.RouteEvidence] = dataclasses.field(
        default_factory=dict
    )
    reported: int = 0

    @property
    def is_over(self) -> bool:
        """Whether the roll-out is completed or rolled back."""
        progress = self.stored.progress
        return (
            progress is not None
            and progress.version == self.stored.order.version
            and progress.is_final
        )

    @property
    def failures(self) -> int:
        """Own failures of the new version."""
        return sum(entry.new.failures for entry in self.evidence.values())


class Conductor:
    """Follows the roll-outs of all pools and moves them on."""

    __slots__ = (
        "_counters",
        "_paces",
        "_random",
        "_rollouts",
        "_store",
        "_vm",
    )

    def __init__(
        self,
        vm: str,
        store: RolloutStore,
        counters: metrics.Counters,
        source: random.Random,
    ) -> None:
        self._vm = vm
        self._store = store
        self._counters = counters
        self._random = source
        self._rollouts: dict[str, _Local] = {}
        self._paces: dict[str, pace.PaceBook] = {}

    def update(self, stored: list[StoredRollout], now_s: float) -> None:
        """Takes over what the store has; `now_s` is a loop time."""
        names = {entry.order.pool for entry in stored}
        for pool in self._rollouts.keys() - names:
            del self._rollouts[pool]
        for entry in stored:
            self._adopt(entry, now_s)

    def _adopt(self, stored: StoredRollout, now_s: float) -> None:
        pool = stored.order.pool
        local = self._rollouts.get(pool)
        if local is None or local.stored.order != stored.order:
            delay_s = self._random.uniform(0.0, _MAX_DELAY_S)
            self._rollouts[pool] = _Local(stored, now_s, delay_s)
            self._log("roll-out ordered", stored)
            return
        if stored.entry.version <= local.stored.entry.version:
            return
        before = local.stored.progress
        local.stored = stored
        if before is None or (
            stored.progress is not None
            and stored.progress.stage is not before.stage
        ):
            self._log("roll-out stage", stored)

    def select(self, pool: str, session: str) -> rollouts.VersionRule:
        """Returns which versions of a pool a session may use."""
        local = self._rollouts.get(pool)
        if local is None:
            return rollouts.VersionRule()
        return rollouts.select_version(
            local.stored.order,
            local.stored.progress,
            session,
            is_restrained=rollouts.is_failing({self._vm: local.evidence}),
        )

    def record(
        self,
        pool: str,
        route: str,
        version: str,
        kind: str,
        *,
        failed: bool,
        latency_s: float,
    ) -> None:
        """Counts the end of an attempt at a version.

        Args:
            pool: Pool of the server.
            route: Route of the request.
            version: Version of the server.
            kind: Kind of work, whose times are comparable.
            failed: Whether the server was at fault for a failure.
            latency_s: Time to the first byte, or until the attempt ended
                without one.
        """
        paces = self._paces.setdefault(pool, pace.PaceBook())
        is_bad = failed or paces.is_slow(kind, latency_s)
        local = self._rollouts.get(pool)
        is_new = local is not None and version == local.stored.order.version
        if not failed and not is_new:
            paces.record(kind, latency_s)
        if local is None or local.is_over:
            return
        entry = local.evidence.get(route, rollouts.RouteEvidence())
        name = "new" if is_new else "old"
        counted = _count(getattr(entry, name), failed=is_bad)
        local.evidence[route] = dataclasses.replace(entry, **{name: counted})

    async def run(self) -> None:
        """Moves roll-outs on until cancelled."""
        while True:
            await asyncio.sleep(_POLL_S)
            now_s = asyncio.get_running_loop().time()
            for local in list(self._rollouts.values()):
                progress = self._find_next(local, now_s)
                if progress is not None:
                    await self._write(local, progress)

    def _find_next(
        self, local: _Local, now_s: float
    ) -> rollouts.Progress | None:
        order = local.stored.order
        progress = local.stored.progress
        age_s = now_s - local.first_seen_s - local.delay_s
        due = rollouts.find_due_stage(order, progress, age_s)
        if progress is None or progress.version != order.version:
            if age_s < 0.0:
                return None
            return rollouts.Progress(order.version)
        if progress.is_final:
            return None
        evidence = dict(progress.evidence)
        has_news = local.failures > local.reported or (
            rollouts.is_suspicious(evidence) and self._vm not in evidence
        )
        if has_news:
            evidence[self._vm] = dict(local.evidence)
        if rollouts.is_failing(evidence):
            due = rollouts.Stage.ROLLED_BACK
        if due is None and not has_news:
            return None
        return rollouts.Progress(order.version, due or progress.stage, evidence)

    async def _write(self, local: _Local, progress: rollouts.Progress) -> None:
        failures = local.failures
        try:
            stored = await self._store.write_progress(local.stored, progress)
        except errors.DragonflydykeError as error:
            # The watch brings the state that won; then this is decided anew.
            self._counters.increment(f"rollout.write.{error.code}")
            _LOGGER.info(
                "roll-out write failed",
                pool=local.stored.order.pool,
                stage=progress.stage,
                code=error.code,
            )
            return
        local.reported = failures
        self._adopt(stored, asyncio.get_running_loop().time())

    def _log(self, message: str, stored: StoredRollout) -> None:
        progress = stored.progress
        _LOGGER.notice(
            message,
            pool=stored.order.pool,
            version=stored.order.version,
            duration_s=stored.order.duration_s,
            stage=progress.stage if progress else "",
            object_version=stored.entry.version,
            evidence=_describe(progress),
        )


def _count(
    sample: decisions.VersionSample, *, failed: bool
) -> decisions.VersionSample:
    return dataclasses.replace(
        sample,
        requests=sample.requests + 1,
        failures=sample.failures + failed,
    )


def _describe(progress: rollouts.Progress | None) -> dict[str, str]:
    if progress is None:
        return {}
    return {
        f"{vm} {route}": f"new {entry.new.failures}/{entry.new.requests}"
        f" old {entry.old.failures}/{entry.old.requests}"
        for vm, routes in progress.evidence.items()
        for route, entry in routes.items()
        if entry.new.requests
    }
