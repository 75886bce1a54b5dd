"""Writes changes of the configuration, each at most once."""

import asyncio
import time
import uuid
from collections.abc import Awaitable, Callable, Coroutine, Mapping
from typing import Any

from dragonflydyke import errors, logs, metrics, objects
from dragonflydyke.configuration import model
from dragonflydyke.membership import announcements, changes, peer_reports, state
from dragonflydyke.protocol import node_pb2

HISTORY_KIND = "history"
_HISTORY_LIMIT = 20
_ANNOUNCEMENT_REPEAT_S = 3.0
# Leaves at least 5 s of the 10 s for which a change is pending to the write.
_MAX_ANNOUNCEMENT_AGE_S = 5.0
# Time for which `apply` waits for the outcome of a write with a lost response.
_OUTCOME_WAIT_S = 3.0
_READ_BACK_PERIOD_S = 0.5
_RESOLUTION_RETRY_LIMIT_S = 60.0
_RETRY_AFTER_S = 5.0

_logger = logs.get_logger("membership.writer")

# Raises if the change from the first to the second document is not allowed.
CheckTransition = Callable[[model.Document, model.Document], None]
# Sends an announcement to the named VMs, or to all listed ones if the names are
# None, and returns the names of those that acknowledged it.
Announce = Callable[
    [node_pb2.ChangeAnnouncement, frozenset[str] | None],
    Awaitable[frozenset[str]],
]


class ConfigurationWriter:
    """Validates, announces and writes revisions of the configuration."""

    __slots__ = (
        "_adopt",
        "_announce",
        "_announcement_tracker",
        "_check_transition",
        "_counters",
        "_find_revision",
        "_objects",
        "_own_name",
        "_parse",
        "_parse_proposed",
        "_peer_tracker",
        "_tasks",
    )

    def __init__(
        self,
        own_name: str,
        object_store: objects.ObjectStore,
        peer_tracker: peer_reports.PeerTracker,
        announcement_tracker: announcements.AnnouncementTracker,
        *,
        parse: state.Parse,
        parse_proposed: state.Parse,
        check_transition: CheckTransition,
        announce: Announce,
        adopt: Callable[[objects.StoredObject | None], Awaitable[None]],
        find_revision: Callable[[], int],
        counters: metrics.Counters,
    ) -> None:
        """Creates a writer.

        Args:
            own_name: Name of this node's VM.
            object_store: Object API of the platform.
            peer_tracker: Decides which VMs are a majority.
            announcement_tracker: Receives the announcements and resolutions of
                this node.
            parse: Parses the mapping of a stored document.
            parse_proposed: Validates and parses the mapping of a proposed
                document.
            check_transition: Raises if the change from the current to the
                proposed document is not allowed.
            announce: Sends an announcement to other VMs.
            adopt: Puts a written revision in force on this node. Called with
                None if a later revision has already replaced it.
            find_revision: Returns the revision in force on this node.
            counters: Receives `apply.<outcome>`.
        """
        self._own_name = own_name
        self._objects = object_store
        self._peer_tracker = peer_tracker
        self._announcement_tracker = announcement_tracker
        self._parse = parse
        self._parse_proposed = parse_proposed
        self._check_transition = check_transition
        self._announce = announce
        self._adopt = adopt
        self._find_revision = find_revision
        self._counters = counters
        self._tasks: set[asyncio.Task[Any]] = set()

    async def apply(
        self,
        mapping: Mapping[str, Any],
        applied_by: str,
        base_revision: int | None = None,
    ) -> changes.AppliedChange:
        """Writes a document as the next revision of the configuration.

        Args:
            mapping: Configuration document.
            applied_by: Name of the operator, recorded in the history.
            base_revision: Revision on which the change is based; 0 requires
                that there is none yet, None accepts any current revision.

        Returns:
            The accepted change.

        Raises:
            DragonflydykeError: `no_majority`, `revision_conflict`,
                `platform_restored` or `platform_unavailable` if the change was
                not accepted;
                `platform_outcome_unknown` or `router_leaving` if the outcome
                is unknown; or any error of the validation.
        """
        document = self._parse_proposed(mapping)
        # An announced change must be resolved even if the operator disconnects
        # and this call is cancelled.
        task = self._spawn(
            self._apply_document(document, mapping, applied_by, base_revision)
        )
        try:
            change = await asyncio.shield(task)
        except errors.DragonflydykeError as error:
            self._counters.increment(f"apply.{error.code}")
            raise
        except asyncio.CancelledError:
            if not task.cancelled():
                raise
            # The task was cancelled by `stop`; the call itself was not.
            self._counters.increment("apply.router_leaving")
            raise errors.DragonflydykeError(
                "router_leaving",
                "this router stopped before the outcome of the change was "
                "known; read the configuration through another router",
                step=errors.Step.APPLY_CONFIGURATION,
                execution=errors.Execution.UNKNOWN,
                retry_after_s=_RETRY_AFTER_S,
                status=503,
            ) from None
        self._counters.increment("apply.accepted")
        return change

    async def read(
        self, revision: int | None = None
    ) -> changes.AppliedChange | None:
        """Reads a revision from the platform.

        Args:
            revision: Number of the revision; None reads the current one.

        Returns:
            The revision, or None if it does not exist.

        Raises:
            PlatformUnavailableError: If the platform cannot be read.
        """
        current = await self._read_current()
        if current is None or revision is None:
            return changes.parse_change(current) if current else None
        if current.value["revision"] == revision:
            return changes.parse_change(current)
        archived = await self._objects.get(
            HISTORY_KIND, changes.archive_name(revision)
        )
        return changes.parse_change(archived) if archived else None

    async def history(
        self, limit: int = _HISTORY_LIMIT
    ) -> tuple[changes.AppliedChange, ...]:
        """Returns the latest revisions, newest first.

        Args:
            limit: Maximum number of revisions.

        Raises:
            PlatformUnavailableError: If the platform cannot be read.
        """
        current = await self.read()
        if current is None:
            return ()
        oldest = max(1, current.revision - limit + 1)
        revisions = [current]
        for revision in range(current.revision - 1, oldest - 1, -1):
            archived = await self._objects.get(
                HISTORY_KIND, changes.archive_name(revision)
            )
            if archived is not None:
                revisions.append(changes.parse_change(archived))
        return tuple(revisions)

    async def stop(self) -> None:
        """Cancels all background tasks and waits for them."""
        # A cancelled announcement starts a new task that sends its resolution.
        while self._tasks:
            for task in tuple(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _apply_document(
        self,
        document: model.Document,
        mapping: Mapping[str, Any],
        applied_by: str,
        base_revision: int | None,
    ) -> changes.AppliedChange:
        if not self._peer_tracker.is_majority(
            self._peer_tracker.alive_vms(_now_s())
        ):
            raise self._no_majority_error("are alive")
        current = await self._read_current()
        current_revision = current.value["revision"] if current else 0
        self._check_restored(current_revision)
        if base_revision not in (None, current_revision):
            raise changes.revision_conflict_error(current_revision)
        if current is not None:
            current_document = self._parse(current.value["document"])
            self._check_transition(current_document, document)
            await self._archive(current)
        change = changes.AppliedChange(
            revision=current_revision + 1,
            change_id=uuid.uuid4().hex,
            applied_at_ms=time.time_ns() // 1_000_000,
            applied_by=applied_by,
            document=mapping,
        )
        proposal = changes.Proposal(
            change, current.version if current else None
        )
        return await self._announce_and_write(proposal)

    async def _announce_and_write(
        self, proposal: changes.Proposal
    ) -> changes.AppliedChange:
        announced_s = _now_s()
        announcement = proposal.announcement(self._own_name)
        try:
            acknowledged = await self._send(announcement)
            if not self._peer_tracker.is_majority(acknowledged):
                raise self._no_majority_error("acknowledged the change")
            if _now_s() - announced_s > _MAX_ANNOUNCEMENT_AGE_S:
                raise self._no_majority_error("acknowledged the change in time")
        except BaseException:
            self._resolve(proposal, written=False)
            raise
        repeat_task = self._spawn(self._repeat_announcement(announcement))
        try:
            stored = await self._write(proposal)
        except objects.OutcomeUnknownError:
            return await self._resolve_lost_response(
                proposal, repeat_task, announced_s
            )
        except errors.DragonflydykeError:
            repeat_task.cancel()
            self._resolve(proposal, written=False)
            raise
        return await self._finish(proposal, repeat_task, stored)

    async def _write(self, proposal: changes.Proposal) -> objects.StoredObject:
        """Writes the revision in a single attempt.

        Raises:
            DragonflydykeError: `revision_conflict`, `platform_unavailable` or
                `platform_outcome_unknown`.
        """
        value = proposal.change.to_mapping()
        try:
            if proposal.base_version is None:
                return await self._objects.create(
                    state.CONTROL_KIND, state.CONFIG_NAME, value
                )
            return await self._objects.update(
                state.CONTROL_KIND,
                state.CONFIG_NAME,
                value,
                proposal.base_version,
            )
        except objects.ConflictError as error:
            if changes.is_written(error.current, proposal):
                return error.current
            current = error.current
            raise changes.revision_conflict_error(
                current.value["revision"] if current else 0
            ) from error

    async def _resolve_lost_response(
        self,
        proposal: changes.Proposal,
        repeat_task: asyncio.Task[None],
        announced_s: float,
    ) -> changes.AppliedChange:
        outcome = self._spawn(
            self._await_outcome(proposal, repeat_task, announced_s)
        )
        done, _ = await asyncio.wait((outcome,), timeout=_OUTCOME_WAIT_S)
        if not done:
            raise _build_outcome_unknown_error(proposal)
        return outcome.result()

    async def _await_outcome(
        self,
        proposal: changes.Proposal,
        repeat_task: asyncio.Task[None],
        announced_s: float,
    ) -> changes.AppliedChange:
        """Reads the configuration until the outcome of the write is certain.

        While the base version is still current, the write can take effect until
        the pending time of a change has passed since the last attempt.
        """
        last_write_s = _now_s()
        while True:
            started_s = _now_s()
            current = await self._read_until_success()
            if changes.is_written(current, proposal):
                return await self._finish(proposal, repeat_task, current)
            version = current.version if current else None
            if changes.is_newer(version, proposal.base_version):
                break
            certain_s = last_write_s + announcements.PENDING_S
            if started_s >= certain_s and version == proposal.base_version:
                break
            if _now_s() - announced_s <= _MAX_ANNOUNCEMENT_AGE_S:
                last_write_s = _now_s()
                stored = await self._retry_write(proposal)
                if stored is not None:
                    return await self._finish(proposal, repeat_task, stored)
            await asyncio.sleep(_READ_BACK_PERIOD_S)
        # The current revision may be based on the proposed one.
        if await self._is_archived(proposal):
            return await self._finish(proposal, repeat_task, None)
        repeat_task.cancel()
        if changes.is_of_later_era(version, proposal.base_version):
            # A router that adopted the change may write it again. Its peers
            # learn from the platform that it is not pending any more.
            raise _build_outcome_unknown_error(proposal)
        self._resolve(proposal, written=False)
        raise changes.revision_conflict_error(
            current.value["revision"] if current else 0
        )

    async def _retry_write(
        self, proposal: changes.Proposal
    ) -> objects.StoredObject | None:
        """Repeats the write; its condition lets at most one attempt succeed."""
        self._counters.increment("retry.apply_answer_lost")
        try:
            return await self._write(proposal)
        except errors.DragonflydykeError:
            return None

    async def _read_until_success(
        self, kind: str = state.CONTROL_KIND, name: str = state.CONFIG_NAME
    ) -> objects.StoredObject | None:
        while True:
            try:
                return await self._objects.get(kind, name)
            except errors.DragonflydykeError:
                self._counters.increment("apply.read_back_failed")
                await asyncio.sleep(_READ_BACK_PERIOD_S)

    async def _is_archived(self, proposal: changes.Proposal) -> bool:
        """Returns whether the change was written and already replaced."""
        archived = await self._read_until_success(
            HISTORY_KIND, changes.archive_name(proposal.change.revision)
        )
        return changes.is_written(archived, proposal)

    async def _finish(
        self,
        proposal: changes.Proposal,
        repeat_task: asyncio.Task[None],
        stored: objects.StoredObject | None,
    ) -> changes.AppliedChange:
        repeat_task.cancel()
        await self._adopt(stored)
        self._resolve(proposal, written=True)
        _logger.info(
            "revision accepted",
            revision=proposal.change.revision,
            change_id=proposal.change.change_id,
            applied_by=proposal.change.applied_by,
        )
        return proposal.change

    async def _send(
        self, announcement: node_pb2.ChangeAnnouncement
    ) -> frozenset[str]:
        self._announcement_tracker.record(announcement, _now_s())
        others = await self._announce(announcement, None)
        return others | {self._own_name}

    async def _repeat_announcement(
        self, announcement: node_pb2.ChangeAnnouncement
    ) -> None:
        while True:
            await asyncio.sleep(_ANNOUNCEMENT_REPEAT_S)
            await self._send(announcement)

    def _resolve(self, proposal: changes.Proposal, *, written: bool) -> None:
        resolution = proposal.announcement(self._own_name)
        resolution.resolved = True
        resolution.written = written
        self._announcement_tracker.record(resolution, _now_s())
        self._spawn(self._send_resolution(resolution))

    async def _send_resolution(
        self, resolution: node_pb2.ChangeAnnouncement
    ) -> None:
        end_s = _now_s() + _RESOLUTION_RETRY_LIMIT_S
        unreached: frozenset[str] | None = None
        while unreached is None or (unreached and _now_s() < end_s):
            acknowledged = await self._announce(resolution, unreached)
            names = {vm.name for vm in self._peer_tracker.entry_vms()}
            recipients = names if unreached is None else unreached
            unreached = frozenset(recipients) - acknowledged - {self._own_name}
            await asyncio.sleep(_READ_BACK_PERIOD_S)

    async def _read_current(self) -> objects.StoredObject | None:
        stored = await self._objects.get(state.CONTROL_KIND, state.CONFIG_NAME)
        if stored is not None:
            changes.parse_change(stored)
        return stored

    async def _archive(self, current: objects.StoredObject) -> None:
        name = changes.archive_name(current.value["revision"])
        try:
            await self._objects.create(HISTORY_KIND, name, current.value)
        except objects.ConflictError:
            return
        except objects.OutcomeUnknownError:
            if await self._objects.get(HISTORY_KIND, name) is None:
                raise changes.not_archived_error(
                    current.value["revision"]
                ) from None

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        if not isinstance(task.exception(), errors.DragonflydykeError):
            _logger.error(
                "configuration change failed", error=repr(task.exception())
            )

    def _check_restored(self, stored_revision: int) -> None:
        """Checks that the platform has the revision in force on this node.

        Raises:
            DragonflydykeError: `platform_restored` (503) if the platform was
                restored from a copy and has an older revision.
        """
        revision = self._find_revision()
        if stored_revision >= revision:
            return
        raise errors.DragonflydykeError(
            "platform_restored",
            f"the platform was restored from a copy and has revision "
            f"{stored_revision} instead of {revision}, which the routers write "
            "again; the change was not written; apply it again",
            step=errors.Step.APPLY_CONFIGURATION,
            retry_after_s=_RETRY_AFTER_S,
            status=503,
        )

    def _no_majority_error(self, condition: str) -> errors.DragonflydykeError:
        return errors.DragonflydykeError(
            "no_majority",
            f"not more than half of the listed VMs {condition}; the change was "
            "not written; apply it through a router in the majority",
            step=errors.Step.APPLY_CONFIGURATION,
            retry_after_s=_RETRY_AFTER_S,
            status=503,
        )


def _build_outcome_unknown_error(
    proposal: changes.Proposal,
) -> errors.DragonflydykeError:
    return errors.DragonflydykeError(
        "platform_outcome_unknown",
        f"the platform did not confirm the write of revision "
        f"{proposal.change.revision}; read the configuration and "
        f"compare its change_id with {proposal.change.change_id}",
        step=errors.Step.APPLY_CONFIGURATION,
        execution=errors.Execution.UNKNOWN,
        retry_after_s=_RETRY_AFTER_S,
        status=503,
    )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
