"""Changes of the configuration, each accepted at most once."""

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
# Leaves the write itself 5 s of the 10 s for which it is announced.
_MAX_ANNOUNCEMENT_AGE_S = 5.0
# Time for which the operator waits for the outcome of a lost answer.
_OUTCOME_WAIT_S = 3.0
_READ_BACK_PERIOD_S = 0.5
_RESOLUTION_RETRY_LIMIT_S = 60.0
_RETRY_AFTER_S = 5.0

_logger = logs.get_logger("membership.writer")

# Validates a proposed document; may take long without blocking the loop.
CheckTransition = Callable[[model.Document, model.Document], None]
# Sends an announcement to other VMs and returns the names that acknowledged;
# None as second argument means all listed VMs.
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
        counters: metrics.Counters,
    ) -> None:
        """Creates a writer.

        Args:
            own_name: Name of this node's VM.
            object_store: The platform.
            peer_tracker: Tells the majority.
            announcement_tracker: Pending announcements of this node.
            parse: Turns a stored document into its object.
            parse_proposed: Validates a proposed document.
            check_transition: Refuses forbidden changes between documents.
            announce: Sends an announcement to other VMs.
            adopt: Puts a written revision in force on this node; None if it
                was replaced by a later one already.
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
        self._counters = counters
        self._tasks: set[asyncio.Task[Any]] = set()

    async def apply(
        self,
        mapping: Mapping[str, Any],
        applied_by: str,
        base_revision: int | None = None,
    ) -> changes.AppliedChange:
        """Makes a document the configuration of the whole fleet.

        Args:
            mapping: The document.
            applied_by: Operator, for the history.
            base_revision: Revision that the change was made from; 0 if there
                must be none yet, None for whichever is present.

        Raises:
            DragonflydykeError: `no_majority`, `revision_conflict` or
                `platform_unavailable` if the change was not accepted;
                `platform_outcome_unknown` if that is not known; and whatever
                the validation raises.
        """
        document = self._parse_proposed(mapping)
        # Once announced, a change must be resolved even if the operator's
        # connection, and with it this call, ends.
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
            # This router stops; the call itself was not cancelled.
            self._counters.increment("apply.router_leaving")
            raise errors.DragonflydykeError(
                "router_leaving",
                "this router stopped before the outcome was known; read the "
                "configuration through another router",
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
        """Reads a revision from the platform; None reads the present one.

        Raises:
            PlatformUnavailableError: If the platform cannot be read.
        """
        present = await self._read_current()
        if present is None or revision is None:
            return changes.parse_change(present) if present else None
        if present.value["revision"] == revision:
            return changes.parse_change(present)
        archived = await self._objects.get(
            HISTORY_KIND, changes.archive_name(revision)
        )
        return changes.parse_change(archived) if archived else None

    async def history(
        self, limit: int = _HISTORY_LIMIT
    ) -> tuple[changes.AppliedChange, ...]:
        """Returns the newest revisions, newest first.

        Raises:
            PlatformUnavailableError: If the platform cannot be read.
        """
        present = await self.read()
        if present is None:
            return ()
        oldest = max(1, present.revision - limit + 1)
        revisions = [present]
        for revision in range(present.revision - 1, oldest - 1, -1):
            archived = await self._objects.get(
                HISTORY_KIND, changes.archive_name(revision)
            )
            if archived is not None:
                revisions.append(changes.parse_change(archived))
        return tuple(revisions)

    async def stop(self) -> None:
        """Ends all background work."""
        # A cancelled announcement starts its resolution as a new task.
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
            raise self._no_majority("are in contact")
        present = await self._read_current()
        present_revision = present.value["revision"] if present else 0
        if base_revision not in (None, present_revision):
            raise changes.revision_conflict_error(present_revision)
        if present is not None:
            present_document = self._parse(present.value["document"])
            self._check_transition(present_document, document)
            await self._archive(present)
        change = changes.AppliedChange(
            revision=present_revision + 1,
            change_id=uuid.uuid4().hex,
            applied_at_ms=time.time_ns() // 1_000_000,
            applied_by=applied_by,
            document=mapping,
        )
        proposal = changes.Proposal(
            change, present.version if present else None
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
                raise self._no_majority("acknowledged the change")
            if _now_s() - announced_s > _MAX_ANNOUNCEMENT_AGE_S:
                raise self._no_majority("acknowledged the change in time")
        except BaseException:
            self._resolve(proposal, written=False)
            raise
        repeat = self._spawn(self._repeat_announcement(announcement))
        try:
            stored = await self._write(proposal)
        except objects.OutcomeUnknownError:
            return await self._resolve_lost_response(
                proposal, repeat, announced_s
            )
        except errors.DragonflydykeError:
            repeat.cancel()
            self._resolve(proposal, written=False)
            raise
        return await self._finish(proposal, repeat, stored)

    async def _write(self, proposal: changes.Proposal) -> objects.StoredObject:
        """Writes the revision once.

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
            present = error.current
            raise changes.revision_conflict_error(
                present.value["revision"] if present else 0
            ) from error

    async def _resolve_lost_response(
        self,
        proposal: changes.Proposal,
        repeat: asyncio.Task[None],
        announced_s: float,
    ) -> changes.AppliedChange:
        outcome = self._spawn(
            self._await_outcome(proposal, repeat, announced_s)
        )
        done, _ = await asyncio.wait((outcome,), timeout=_OUTCOME_WAIT_S)
        if not done:
            raise errors.DragonflydykeError(
                "platform_outcome_unknown",
                f"the platform did not confirm revision "
                f"{proposal.change.revision}; read the configuration and "
                f"compare change_id {proposal.change.change_id}",
                step=errors.Step.APPLY_CONFIGURATION,
                execution=errors.Execution.UNKNOWN,
                retry_after_s=_RETRY_AFTER_S,
                status=503,
            )
        return outcome.result()

    async def _await_outcome(
        self,
        proposal: changes.Proposal,
        repeat: asyncio.Task[None],
        announced_s: float,
    ) -> changes.AppliedChange:
        """Reads the configuration until the outcome of the write is certain.

        While the base is still present, the write may take effect for as long
        as it counts as announced.
        """
        last_write_s = _now_s()
        while True:
            started_s = _now_s()
            present = await self._read_until_success()
            if changes.is_written(present, proposal):
                return await self._finish(proposal, repeat, present)
            version = present.version if present else None
            if changes.is_newer(version, proposal.base_version):
                break
            certain_s = last_write_s + announcements.PENDING_S
            if started_s >= certain_s and version == proposal.base_version:
                break
            if _now_s() - announced_s <= _MAX_ANNOUNCEMENT_AGE_S:
                last_write_s = _now_s()
                stored = await self._retry_write(proposal)
                if stored is not None:
                    return await self._finish(proposal, repeat, stored)
            await asyncio.sleep(_READ_BACK_PERIOD_S)
        # The read-back may show a revision made from ours.
        if await self._is_archived(proposal):
            return await self._finish(proposal, repeat, None)
        repeat.cancel()
        self._resolve(proposal, written=False)
        raise changes.revision_conflict_error(
            present.value["revision"] if present else 0
        )

    async def _retry_write(
        self, proposal: changes.Proposal
    ) -> objects.StoredObject | None:
        """Writes again under the same condition, so at most one succeeds."""
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
        """Returns whether our change was written and already replaced."""
        archived = await self._read_until_success(
            HISTORY_KIND, changes.archive_name(proposal.change.revision)
        )
        return changes.is_written(archived, proposal)

    async def _finish(
        self,
        proposal: changes.Proposal,
        repeat: asyncio.Task[None],
        stored: objects.StoredObject | None,
    ) -> changes.AppliedChange:
        repeat.cancel()
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
        missing: frozenset[str] | None = None
        while missing is None or (missing and _now_s() < end_s):
            reached = await self._announce(resolution, missing)
            names = {vm.name for vm in self._peer_tracker.entry_vms()}
            known = names if missing is None else missing
            missing = frozenset(known) - reached - {self._own_name}
            await asyncio.sleep(_READ_BACK_PERIOD_S)

    async def _read_current(self) -> objects.StoredObject | None:
        stored = await self._objects.get(state.CONTROL_KIND, state.CONFIG_NAME)
        if stored is not None:
            changes.parse_change(stored)
        return stored

    async def _archive(self, present: objects.StoredObject) -> None:
        name = changes.archive_name(present.value["revision"])
        try:
            await self._objects.create(HISTORY_KIND, name, present.value)
        except objects.ConflictError:
            return
        except objects.OutcomeUnknownError:
            if await self._objects.get(HISTORY_KIND, name) is None:
                raise changes.not_archived_error(
                    present.value["revision"]
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

    def _no_majority(self, what: str) -> errors.DragonflydykeError:
        return errors.DragonflydykeError(
            "no_majority",
            f"not more than half of the listed VMs {what}; the change was not "
            "written, apply it through a router in the majority",
            step=errors.Step.APPLY_CONFIGURATION,
            retry_after_s=_RETRY_AFTER_S,
            status=503,
        )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
