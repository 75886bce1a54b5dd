"""Carries roll-outs forward through conditional writes to the store."""

import asyncio
import collections
import dataclasses
import random
from typing import Protocol

from dragonflydyke import errors, logs, metrics
from dragonflydyke.forwarding import directory, model, observers, rollouts
from dragonflydyke.objects import model as objects

_POLL_INTERVAL_S = 0.25
# Spreads the writes of nodes that all see the same stage as due; the first
# one that succeeds spares the others theirs.
_MAX_WRITE_DELAY_S = 0.5
# Nothing depends on the first write of a roll-out, so that it has more time; in
# a short roll-out no more than this part of it.
_FIRST_WRITE_DELAY_FACTOR = 8.0
_MAX_FIRST_WRITE_DELAY_SHARE = 0.2
# After a conflict the watch brings the object that won; a store that refuses is
# asked again as often as its watches are.
_MIN_WRITE_RETRY_S = 0.4
_MAX_WRITE_RETRY_S = 1.2
# Impaired attempts are common, and each report wakes all nodes.
_IMPAIRED_REPORT_INTERVAL_S = 1.5
# Nodes report attempts without fault only when the others' reports call for a
# roll-back, and have this time to do so.
_ROLLBACK_CONFIRMATION_S = 1.0

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
class _RolloutState:
    """What this node knows of a roll-out beside the store.

    Attributes:
        stored: Newest state from the store.
        first_seen_s: Loop time at which the order was seen.
        delay_s: How much later than due this node acts.
        evidence: Own counts by route.
        reported: Own evidence that the store has.
        reported_s: Loop time of the last report.
        suspected_s: Loop time since which the reports of all nodes call for a
            roll-back, None while they do not.
        is_restrained: Whether own evidence alone calls for a roll-back.
        retry_at_s: Loop time before which this node does not write again.
    """

    stored: StoredRollout
    first_seen_s: float
    write_delay_s: float
    local_evidence: dict[str, rollouts.RouteEvidence] = dataclasses.field(
        default_factory=dict
    )
    reported_evidence: dict[str, rollouts.RouteEvidence] = dataclasses.field(
        default_factory=dict
    )
    reported_s: float = 0.0
    suspect_since_s: float | None = None
    is_suspended: bool = False
    retry_at_s: float = 0.0

    @property
    def is_finished(self) -> bool:
        """Whether the roll-out is completed or rolled back."""
        progress = self.stored.progress
        return (
            progress is not None
            and progress.version == self.stored.order.version
            and progress.is_final
        )

    def has_unreported_evidence(self, now_s: float) -> bool:
        """Returns whether own evidence should be reported at a loop time."""
        if self.local_evidence == self.reported_evidence:
            return False
        if self.suspect_since_s is not None:
            return True
        new = rollouts.sum_new_version(self.local_evidence)
        known = rollouts.sum_new_version(self.reported_evidence)
        if new.failed > known.failed:
            return True
        is_due = now_s - self.reported_s >= _IMPAIRED_REPORT_INTERVAL_S
        return is_due and new.impaired > known.impaired


class RolloutController:
    """Follows the roll-outs of all pools and moves them on."""

    __slots__ = (
        "_baselines",
        "_counters",
        "_exposure_share",
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
        exposure_share: float,
    ) -> None:
        """Creates a conductor that knows of no roll-out.

        Args:
            vm: Name of this VM in the reports.
            store: Where the progress is kept.
            counters: Receives `rollout.write.<code>`.
            source: Spreads the writes of the nodes.
            exposure_share: Part of the requests of a roll-out that a bad
                version may get; the same on all nodes.
        """
        self._vm = vm
        self._exposure_share = exposure_share
        self._store = store
        self._counters = counters
        self._random = source
        self._rollouts: dict[str, _RolloutState] = {}
        self._baselines: dict[str, observers.VersionBaselines] = {}

    def update(self, stored: list[StoredRollout], now_s: float) -> None:
        """Takes over what the store has; `now_s` is a loop time."""
        names = {entry.order.pool for entry in stored}
        for pool in self._rollouts.keys() - names:
            del self._rollouts[pool]
        for entry in stored:
            self._apply_stored(entry, now_s)

    def _apply_stored(self, stored: StoredRollout, now_s: float) -> None:
        pool = stored.order.pool
        local = self._rollouts.get(pool)
        if local is None or local.stored.order != stored.order:
            delay_s = self._random.uniform(0.0, _MAX_WRITE_DELAY_S)
            self._rollouts[pool] = _RolloutState(stored, now_s, delay_s)
            self._log_rollout("roll-out ordered", stored)
            return
        if stored.entry.version <= local.stored.entry.version:
            return
        before = local.stored.progress
        local.stored = stored
        if before is None or (
            stored.progress is not None
            and stored.progress.stage is not before.stage
        ):
            self._log_rollout("roll-out stage", stored)

    def select_version_rule(
        self, pool: str, session: str
    ) -> rollouts.VersionRule:
        """Returns which versions of a pool a session may use."""
        local = self._rollouts.get(pool)
        if local is None:
            return rollouts.VersionRule()
        return rollouts.select_version_rule(
            local.stored.order,
            local.stored.progress,
            session,
            exposure_share=self._exposure_share,
            is_suspended=local.is_suspended,
        )

    def observe_attempt(
        self, member: directory.ServerEntry, route: model.Route, model_name: str
    ) -> observers.AttemptObserver:
        """Returns the observer of an attempt that begins now.

        Args:
            member: Where it goes.
            route: Route of the request.
            model_name: Model that is asked, empty without a choice.
        """
        paces = self._baselines.setdefault(
            member.pool, observers.VersionBaselines()
        )
        return observers.AttemptObserver(self, paces, member, route, model_name)

    def record_attempts(
        self,
        member: directory.ServerEntry,
        route: str,
        counts: rollouts.AttemptCounts,
    ) -> None:
        """Adds to the evidence on the version of a server."""
        local = self._rollouts.get(member.pool)
        if local is None or local.is_finished:
            return
        entry = local.local_evidence.get(route, rollouts.RouteEvidence())
        if member.version != local.stored.order.version:
            entry = dataclasses.replace(entry, old=entry.old.add(counts))
        else:
            bad_servers = collections.Counter(entry.bad_servers)
            bad_servers[member.name] += counts.bad
            entry = dataclasses.replace(
                entry,
                new=entry.new.add(counts),
                # Without servers that have no bad attempt.
                bad_servers=dict(+bad_servers),
            )
        local.local_evidence[route] = entry
        local.is_suspended = rollouts.should_roll_back(
            {self._vm: local.local_evidence}
        )

    def has_new_version(self, member: directory.ServerEntry) -> bool:
        """Returns whether a server has the version that is rolled out."""
        local = self._rollouts.get(member.pool)
        if local is None or local.is_finished:
            return False
        return member.version == local.stored.order.version

    async def run(self) -> None:
        """Moves roll-outs on until cancelled."""
        while True:
            await asyncio.sleep(_POLL_INTERVAL_S)
            now_s = asyncio.get_running_loop().time()
            for local in list(self._rollouts.values()):
                progress = self._find_next_progress(local, now_s)
                if progress is not None and now_s >= local.retry_at_s:
                    await self._write(local, progress)

    def _find_next_progress(
        self, local: _RolloutState, now_s: float
    ) -> rollouts.Progress | None:
        order = local.stored.order
        progress = local.stored.progress
        age_s = now_s - local.first_seen_s - local.write_delay_s
        due = rollouts.find_due_stage(order, progress, age_s)
        if progress is None or progress.version != order.version:
            delay_s = min(
                local.write_delay_s * _FIRST_WRITE_DELAY_FACTOR,
                order.duration_s * _MAX_FIRST_WRITE_DELAY_SHARE,
            )
            if now_s - local.first_seen_s < delay_s:
                return None
            return rollouts.Progress(order.version)
        if progress.is_final:
            return None
        evidence = dict(progress.evidence)
        has_news = local.has_unreported_evidence(now_s)
        if has_news:
            evidence[self._vm] = dict(local.local_evidence)
        if not rollouts.should_roll_back(evidence):
            local.suspect_since_s = None
        elif local.suspect_since_s is None:
            local.suspect_since_s = now_s
        if local.suspect_since_s is not None:
            # No stage is entered on reports that call for a roll-back.
            is_confirmed = (
                now_s - local.suspect_since_s >= _ROLLBACK_CONFIRMATION_S
            )
            due = rollouts.Stage.ROLLED_BACK if is_confirmed else None
        if due is None and not has_news:
            return None
        if local.local_evidence:
            # A write that is due anyway also carries what was held back.
            evidence[self._vm] = dict(local.local_evidence)
        return rollouts.Progress(order.version, due or progress.stage, evidence)

    async def _write(
        self, local: _RolloutState, progress: rollouts.Progress
    ) -> None:
        try:
            stored = await self._store.write_progress(local.stored, progress)
        except errors.DragonflydykeError as error:
            delay_s = self._random.uniform(
                _MIN_WRITE_RETRY_S, _MAX_WRITE_RETRY_S
            )
            local.retry_at_s = asyncio.get_running_loop().time() + delay_s
            # The watch brings the state that won; then this is decided anew.
            self._counters.increment(f"rollout.write.{error.code}")
            _LOGGER.info(
                "roll-out write failed",
                pool=local.stored.order.pool,
                stage=progress.stage,
                code=error.code,
            )
            return
        now_s = asyncio.get_running_loop().time()
        local.reported_evidence = dict(progress.evidence.get(self._vm, {}))
        local.reported_s = now_s
        self._apply_stored(stored, now_s)

    def _log_rollout(self, message: str, stored: StoredRollout) -> None:
        progress = stored.progress
        _LOGGER.notice(
            message,
            pool=stored.order.pool,
            version=stored.order.version,
            duration_s=stored.order.duration_s,
            stage=progress.stage if progress else "",
            object_version=stored.entry.version,
            evidence=_describe_evidence(progress),
        )


def _describe_evidence(progress: rollouts.Progress | None) -> dict[str, str]:
    if progress is None:
        return {}
    return {
        f"{vm} {route}": f"new {_describe_counts(entry.new)}"
        f" old {_describe_counts(entry.old)}"
        for vm, routes in progress.evidence.items()
        for route, entry in routes.items()
        if entry.new.attempts
    }


def _describe_counts(counts: rollouts.AttemptCounts) -> str:
    return f"{counts.failed}+{counts.impaired}/{counts.attempts}"
