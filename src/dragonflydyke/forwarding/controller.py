"""Advances rollouts through conditional writes to the store."""

import asyncio
import collections
import dataclasses
import random
from collections.abc import Callable
from typing import Protocol

from dragonflydyke import errors, logs, metrics
from dragonflydyke.forwarding import (
    directory,
    model,
    observers,
    rollout_evidence,
    rollouts,
)
from dragonflydyke.objects import model as objects

_POLL_INTERVAL_S = 0.25
# Spreads the writes of nodes that see the same stage as due at the same time;
# after the first successful write the other nodes need not write.
_MAX_WRITE_DELAY_S = 0.5
# The first write of a rollout is not urgent, so it is spread over a longer
# time, limited to a fraction of the duration for short rollouts.
_FIRST_WRITE_DELAY_FACTOR = 8.0
_MAX_FIRST_WRITE_DELAY_SHARE = 0.2
# After a conflict a write is repeated at once with the current object, but many
# nodes that report at the same time must not do so for long. A store that
# rejects writes is retried as often as its watches are.
_MAX_WRITES = 3
_MIN_WRITE_RETRY_S = 0.4
_MAX_WRITE_RETRY_S = 1.2
# Impaired attempts are common, and each report notifies all nodes.
_IMPAIRED_REPORT_INTERVAL_S = 1.5
# Seconds for which an order that a restored store lacks is kept. The operator
# writes it again.
ORDER_RETURN_S = 10.0
# After an outage of the store, all nodes have this long to report what they
# have seen, before a stage with more exposure begins.
_REPORT_PERIOD_S = 1.0
# Nodes of large fleets spread reports that are needed to complete a rollout by
# this multiple of their delay, since their writes would conflict.
_EVALUATION_DELAY_FACTOR = 3.0
# Nodes report attempts without a failure only once the reports of other nodes
# call for a rollback. They have this long to do so before it takes effect.
_ROLLBACK_CONFIRMATION_S = 1.0

_LOGGER = logs.get_logger("rollout")


@dataclasses.dataclass(slots=True, frozen=True)
class StoredRollout:
    """A rollout as it is stored.

    Attributes:
        entry: Object in the store, for conditional writes.
        order: Rollout that the operator ordered.
        progress: Shared progress on this order, None before the first report
            of a node.
    """

    entry: objects.StoredObject
    order: rollouts.Order
    progress: rollouts.Progress | None


class RolloutChangedError(objects.ConflictError):
    """A rollout was changed by another node since it was read.

    Attributes:
        rollout: The rollout as it is stored now.
    """

    __slots__ = ("rollout",)

    def __init__(self, rollout: StoredRollout, *, peer: str) -> None:
        entry = rollout.entry
        super().__init__(entry.kind, entry.name, entry, peer=peer)
        self.rollout = rollout


class RolloutStore(Protocol):
    """Stores the progress of rollouts."""

    async def write_progress(
        self, stored: StoredRollout, progress: rollouts.Progress
    ) -> StoredRollout:
        """Replaces the progress if the stored object is unchanged.

        Raises:
            RolloutChangedError: If the object was changed.
            DragonflydykeError: If the conditional write fails otherwise.
        """


@dataclasses.dataclass(slots=True)
class _RolloutState:
    """Node-local state of a rollout.

    Attributes:
        stored: Newest state from the store.
        progress: Progress in force, None before the first write. The store
            may lack a part of it after it was restored from a copy.
        first_seen_s: Loop time at which this node first saw the order.
        stage_seen_s: Loop time at which it first saw the stage in force.
        write_delay_s: Seconds by which this node delays its writes.
        local_evidence: Attempts of this node by route.
        reported_s: Loop time of the last report.
        suspect_since_s: Loop time since which the evidence of all nodes calls
            for a rollback, None while it does not.
        is_suspended: Whether the local evidence alone calls for a rollback, so
            that this node suspends exposure to the new version.
        retry_at_s: Loop time before which this node does not write again.
        missing_since_s: Loop time since which the store lacks the order, None
            while it has it.
    """

    stored: StoredRollout
    progress: rollouts.Progress | None
    first_seen_s: float
    stage_seen_s: float
    write_delay_s: float
    local_evidence: dict[str, rollout_evidence.RouteEvidence] = (
        dataclasses.field(default_factory=dict)
    )
    reported_s: float = 0.0
    suspect_since_s: float | None = None
    is_suspended: bool = False
    retry_at_s: float = 0.0
    missing_since_s: float | None = None

    @property
    def is_finished(self) -> bool:
        """Whether the rollout is completed or rolled back."""
        return self.progress is not None and self.progress.is_final

    @property
    def is_store_behind(self) -> bool:
        """Whether the store lacks the stage in force."""
        if self.progress is None:
            return False
        stored = self.stored.progress
        return stored is None or stored.is_behind(self.progress)

    def has_unreported_evidence(self, vm: str, now_s: float) -> bool:
        """Returns whether this node should report its evidence.

        Args:
            vm: Name of this VM in the reports.
            now_s: Current loop time.
        """
        stored = self.stored.progress
        evidence = stored.evidence.get(vm, {}) if stored else {}
        if not self.local_evidence or self.local_evidence == evidence:
            return False
        if self.suspect_since_s is not None:
            return True
        new = rollout_evidence.sum_new_version(self.local_evidence)
        reported = rollout_evidence.sum_new_version(evidence)
        if new.failed > reported.failed:
            return True
        is_due = now_s - self.reported_s >= _IMPAIRED_REPORT_INTERVAL_S
        return is_due and new.impaired > reported.impaired


class RolloutController:
    """Tracks the rollouts of all pools and advances their stages."""

    __slots__ = (
        "_available_since_s",
        "_baselines",
        "_count_nodes",
        "_counters",
        "_exposure",
        "_is_store_available",
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
        exposure: rollouts.ExposureLimit,
        is_store_available: Callable[[], bool] = lambda: True,
        count_nodes: Callable[[], int] = lambda: 1,
    ) -> None:
        """Creates a controller without rollouts.

        Args:
            vm: Name of this VM in the reports.
            store: Stores the progress.
            counters: Receives `rollout.write.<code>`.
            source: Random source that spreads the writes of the nodes.
            exposure: Limit on the requests during a rollout that a bad version
                may receive; the same on all nodes.
            is_store_available: Returns whether the last read of the store
                succeeded. Rejected writes are counted as calls too, so that a
                node does not write before.
            count_nodes: Returns the number of nodes.
        """
        self._vm = vm
        self._exposure = exposure
        self._count_nodes = count_nodes
        self._store = store
        self._counters = counters
        self._random = source
        self._is_store_available = is_store_available
        self._rollouts: dict[str, _RolloutState] = {}
        # Loop time since which the store is available, None while it is not.
        self._available_since_s: float | None = None
        self._baselines: dict[str, observers.VersionBaselines] = {}

    def update(
        self, stored: list[StoredRollout], now_s: float, version: int
    ) -> None:
        """Replaces the rollouts with those stored.

        Args:
            stored: All rollouts in the store.
            now_s: Current loop time.
            version: Version of the store.
        """
        names = {entry.order.pool for entry in stored}
        for pool in self._rollouts.keys() - names:
            self._remove(pool, now_s, version)
        for entry in stored:
            self._apply_stored(entry, now_s)

    def _remove(self, pool: str, now_s: float, version: int) -> None:
        """Removes a rollout, or marks it as lost by a restore of the store."""
        state = self._rollouts[pool]
        era = objects.find_era(state.stored.entry.version)
        if era == objects.find_era(version):
            del self._rollouts[pool]
        elif state.missing_since_s is None:
            state.missing_since_s = now_s
            _LOGGER.warning("restored store lacks an order", pool=pool)

    def _drop_missing(self, now_s: float) -> None:
        for pool, state in list(self._rollouts.items()):
            since_s = state.missing_since_s
            if since_s is not None and now_s - since_s >= ORDER_RETURN_S:
                del self._rollouts[pool]
                _LOGGER.warning("order did not return", pool=pool)

    def _apply_stored(self, stored: StoredRollout, now_s: float) -> None:
        pool = stored.order.pool
        state = self._rollouts.get(pool)
        if state is None or state.stored.order != stored.order:
            delay_s = self._random.uniform(0.0, _MAX_WRITE_DELAY_S)
            known = stored.progress.evidence if stored.progress else {}
            self._rollouts[pool] = _RolloutState(
                stored,
                stored.progress,
                now_s,
                now_s,
                delay_s,
                # A report replaces the one that the node wrote before a
                # restart.
                local_evidence=dict(known.get(self._vm, {})),
            )
            self._log_rollout("rollout ordered", stored)
            return
        if stored.entry.version <= state.stored.entry.version:
            return
        previous = state.progress
        state.stored = stored
        state.missing_since_s = None
        state.progress = rollouts.merge_progress(previous, stored.progress)
        if previous is None or state.progress.stage is not previous.stage:
            state.stage_seen_s = now_s
        if state.is_store_behind:
            # All nodes notice it at the same time.
            state.retry_at_s = now_s + state.write_delay_s
            self._log_rollout("restored store lacks a stage", stored)
        elif previous is None or state.progress.stage is not previous.stage:
            self._log_rollout("roll-out stage", stored)

    def select_version_rule(
        self, pool: str, session: str
    ) -> rollouts.VersionRule:
        """Returns the version rule of a pool for a session."""
        state = self._rollouts.get(pool)
        if state is None:
            return rollouts.VersionRule()
        return rollouts.select_version_rule(
            state.stored.order,
            state.progress,
            session,
            exposure_share=self._exposure.share,
            is_suspended=state.is_suspended,
        )

    def observe_attempt(
        self, server: directory.ServerEntry, route: model.Route, model_name: str
    ) -> observers.AttemptObserver:
        """Returns the observer of an attempt that starts now.

        Args:
            server: Server of the attempt.
            route: Route of the request.
            model_name: Requested model, empty if there is none.
        """
        baselines = self._baselines.setdefault(
            server.pool, observers.VersionBaselines()
        )
        return observers.AttemptObserver(
            self, baselines, server, route, model_name
        )

    def record_attempts(
        self,
        server: directory.ServerEntry,
        route: str,
        counts: rollout_evidence.AttemptCounts,
    ) -> None:
        """Adds attempts to the evidence on the server's version."""
        state = self._rollouts.get(server.pool)
        if state is None or state.is_finished:
            return
        entry = state.local_evidence.get(
            route, rollout_evidence.RouteEvidence()
        )
        if server.version != state.stored.order.version:
            entry = dataclasses.replace(entry, old=entry.old.add(counts))
        else:
            bad_servers = collections.Counter(entry.bad_servers)
            bad_servers[server.name] += counts.bad
            entry = dataclasses.replace(
                entry,
                new=entry.new.add(counts),
                # Unary plus removes the servers without bad attempts.
                bad_servers=dict(+bad_servers),
            )
        state.local_evidence[route] = entry
        state.is_suspended = rollout_evidence.should_roll_back(
            {self._vm: state.local_evidence}
        )

    def has_new_version(self, server: directory.ServerEntry) -> bool:
        """Returns whether a server has the version that is being rolled out."""
        state = self._rollouts.get(server.pool)
        if state is None or state.is_finished:
            return False
        return server.version == state.stored.order.version

    async def run(self) -> None:
        """Advances the rollouts until cancelled."""
        while True:
            await asyncio.sleep(_POLL_INTERVAL_S)
            if not self._is_store_available():
                self._available_since_s = None
                continue
            now_s = asyncio.get_running_loop().time()
            if self._available_since_s is None:
                self._available_since_s = now_s
            self._drop_missing(now_s)
            for state in list(self._rollouts.values()):
                if state.missing_since_s is None and now_s >= state.retry_at_s:
                    await self._advance(state)

    async def _advance(self, state: _RolloutState) -> None:
        """Writes the next progress, if any; repeats it after a conflict."""
        for _ in range(_MAX_WRITES):
            now_s = asyncio.get_running_loop().time()
            progress = self._find_next_progress(state, now_s)
            if progress is None or await self._write(state, progress):
                return

    def _find_next_progress(
        self, state: _RolloutState, now_s: float
    ) -> rollouts.Progress | None:
        order = state.stored.order
        progress = state.progress
        age_s = now_s - state.first_seen_s - state.write_delay_s
        due_stage = rollouts.find_due_stage(order, progress, age_s)
        if progress is None:
            return self._find_first_progress(state, now_s)
        if progress.is_final:
            return progress if state.is_store_behind else None
        evidence = dict(progress.evidence)
        has_unreported = self._is_report_due(state, progress, now_s)
        if has_unreported:
            evidence[self._vm] = dict(state.local_evidence)
        completes_soon = order.is_completion_near(progress, age_s)
        if not self._may_leave_stage(state, progress, now_s):
            due_stage = None
        if not rollout_evidence.should_roll_back(
            evidence, completes_soon=completes_soon
        ):
            state.suspect_since_s = None
        elif state.suspect_since_s is None:
            state.suspect_since_s = now_s
        if state.suspect_since_s is not None:
            # Evidence that calls for a rollback blocks all further stages.
            is_confirmed = (
                now_s - state.suspect_since_s >= _ROLLBACK_CONFIRMATION_S
            )
            due_stage = rollouts.Stage.ROLLED_BACK if is_confirmed else None
        if not (due_stage or has_unreported or state.is_store_behind):
            return None
        if state.local_evidence:
            # Every write includes all local evidence, even if not yet due.
            evidence[self._vm] = dict(state.local_evidence)
        return rollouts.Progress(
            order.version,
            due_stage or progress.stage,
            evidence,
            self._find_canary_share(order, progress, due_stage),
        )

    def _find_first_progress(
        self, state: _RolloutState, now_s: float
    ) -> rollouts.Progress | None:
        """Returns the progress with which a rollout begins, once it is due."""
        order = state.stored.order
        delay_s = min(
            state.write_delay_s * _FIRST_WRITE_DELAY_FACTOR,
            order.duration_s * _MAX_FIRST_WRITE_DELAY_SHARE,
        )
        if now_s - state.first_seen_s < delay_s:
            return None
        return rollouts.Progress(order.version)

    def _is_report_due(
        self, state: _RolloutState, progress: rollouts.Progress, now_s: float
    ) -> bool:
        """Returns whether this node should report its evidence."""
        return (
            state.has_unreported_evidence(self._vm, now_s)
            or self._is_traffic_report_due(state, progress, now_s)
            or self._is_evaluation_report_due(state, progress, now_s)
        )

    def _is_traffic_report_due(
        self,
        state: _RolloutState,
        progress: rollouts.Progress,
        now_s: float,
    ) -> bool:
        """Returns whether to report attempts for the size of the canary."""
        age_s = now_s - state.first_seen_s - state.write_delay_s
        return (
            progress.stage is rollouts.Stage.WAITING
            and self._count_nodes() <= rollouts.MAX_REPORTING_NODES
            and self._vm not in progress.evidence
            and bool(state.local_evidence)
            and age_s
            >= state.stored.order.duration_s * rollouts.TRAFFIC_REPORT_SHARE
        )

    def _may_leave_stage(
        self, state: _RolloutState, progress: rollouts.Progress, now_s: float
    ) -> bool:
        since_s = self._available_since_s
        if progress.stage is not rollouts.Stage.WAITING and (
            since_s is None or now_s - since_s < _REPORT_PERIOD_S
        ):
            return False
        return rollouts.may_leave_stage(
            state.stored.order,
            progress,
            now_s - state.first_seen_s,
            now_s - state.stage_seen_s,
        )

    def _is_evaluation_report_due(
        self, state: _RolloutState, progress: rollouts.Progress, now_s: float
    ) -> bool:
        """Returns whether to report attempts that the completion waits for."""
        delay_s = state.write_delay_s
        if self._count_nodes() > rollouts.MAX_REPORTING_NODES:
            delay_s *= _EVALUATION_DELAY_FACTOR
        age_s = now_s - state.first_seen_s - delay_s
        if (
            not state.stored.order.is_completion_near(progress, age_s)
            or rollout_evidence.has_evaluation(progress.evidence)
            or now_s - state.reported_s < _IMPAIRED_REPORT_INTERVAL_S
        ):
            return False
        reported = rollout_evidence.sum_new_version(
            progress.evidence.get(self._vm, {})
        )
        new = rollout_evidence.sum_new_version(state.local_evidence)
        return new.attempts > reported.attempts

    def _find_canary_share(
        self,
        order: rollouts.Order,
        progress: rollouts.Progress,
        due_stage: rollouts.Stage | None,
    ) -> float:
        if due_stage is not rollouts.Stage.CANARY:
            return progress.canary_share
        return rollouts.find_canary_share(
            order, self._exposure, progress.evidence, self._count_nodes()
        )

    async def _write(
        self, state: _RolloutState, progress: rollouts.Progress
    ) -> bool:
        """Writes a progress.

        Returns:
            False if the rollout has changed, so that another progress may
            follow from it at once.
        """
        try:
            stored = await self._store.write_progress(state.stored, progress)
        except errors.DragonflydykeError as error:
            now_s = asyncio.get_running_loop().time()
            delay_s = self._random.uniform(
                _MIN_WRITE_RETRY_S, _MAX_WRITE_RETRY_S
            )
            state.retry_at_s = now_s + delay_s
            self._counters.increment(f"rollout.write.{error.code}")
            _LOGGER.info(
                "roll-out write failed",
                pool=state.stored.order.pool,
                stage=progress.stage,
                code=error.code,
                object_version=state.stored.entry.version,
                stored_version=_find_stored_version(error),
            )
            if not isinstance(error, RolloutChangedError):
                return True
            self._apply_stored(error.rollout, now_s)
            return False
        now_s = asyncio.get_running_loop().time()
        state.reported_s = now_s
        self._apply_stored(stored, now_s)
        return True

    def _log_rollout(self, message: str, stored: StoredRollout) -> None:
        progress = stored.progress
        _LOGGER.notice(
            message,
            pool=stored.order.pool,
            version=stored.order.version,
            duration_s=stored.order.duration_s,
            stage=progress.stage if progress else "",
            canary_share=round(progress.canary_share, 3) if progress else 0.0,
            reports=len(progress.evidence) if progress else 0,
            object_version=stored.entry.version,
            evidence=_describe_evidence(progress),
        )


def _find_stored_version(error: errors.DragonflydykeError) -> int | None:
    """Returns the version of the object that a write conflicted with."""
    if isinstance(error, RolloutChangedError):
        return error.rollout.entry.version
    return None


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


def _describe_counts(counts: rollout_evidence.AttemptCounts) -> str:
    return f"{counts.failed}+{counts.impaired}/{counts.attempts}"
