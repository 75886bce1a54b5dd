"""Polling of the control objects and the VM list."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

from dragonflydyke import errors, logs, metrics, objects
from dragonflydyke.membership import (
    confirmations,
    keys,
    peer_reports,
    restoration,
    state,
)
from dragonflydyke.objects import model

POLL_PERIOD_S = 1.0
VM_LIST_PERIOD_S = 2.0

_logger = logs.get_logger("membership.poller")


class ControlPoller:
    """Reads the platform, adopts its state and records confirmations."""

    __slots__ = (
        "_confirmation_tracker",
        "_counters",
        "_key_ring_manager",
        "_newest_store_version",
        "_objects",
        "_peer_tracker",
        "_reachable",
        "_state",
    )

    def __init__(
        self,
        object_store: objects.ObjectStore,
        state_store: state.StateStore,
        confirmation_tracker: confirmations.ConfirmationTracker,
        peer_tracker: peer_reports.PeerTracker,
        key_ring_manager: keys.KeyRingManager,
        counters: metrics.Counters,
    ) -> None:
        """Creates a poller.

        Args:
            object_store: Object API of the platform.
            state_store: Adopts the control objects that are read.
            confirmation_tracker: Records a confirmation for each complete
                read.
            peer_tracker: Receives the VM list.
            key_ring_manager: Creates missing session keys.
            counters: Receives `poll.<outcome>`, `poll_vms.<outcome>` and
                `restored.written`.
        """
        self._objects = object_store
        self._state = state_store
        self._confirmation_tracker = confirmation_tracker
        self._peer_tracker = peer_tracker
        self._key_ring_manager = key_ring_manager
        self._counters = counters
        self._newest_store_version = 0
        self._reachable: bool | None = None

    async def run(self, is_due: Callable[[], bool]) -> None:
        """Polls until cancelled.

        Args:
            is_due: Returns whether this node has to read the control objects
                in this period.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(
                self._run_periodically(
                    POLL_PERIOD_S, lambda: self._poll_if(is_due)
                )
            )
            group.create_task(
                self._run_periodically(VM_LIST_PERIOD_S, self.poll_vms)
            )

    async def poll(self) -> bool:
        """Reads and adopts the control objects; returns whether it did."""
        started_s = asyncio.get_running_loop().time()
        try:
            listed = await self._list()
        except errors.DragonflydykeError:
            self._counters.increment("poll.failed")
            self._record_reachability(False)
            return False
        self._record_reachability(True)
        if not self._adopt(listed):
            return False
        self._counters.increment("poll.confirmed")
        # The platform's state was read at some time after `started_s`.
        self._confirmation_tracker.record_local_read(
            started_s, self._state.control_version
        )
        await self._key_ring_manager.ensure_exists()
        return True

    async def _list(self) -> objects.ObjectList:
        """Lists the control objects that this router has not adopted."""
        try:
            return await self._objects.list(
                state.CONTROL_KIND, since=self._state.control_version
            )
        except objects.HistoryLostError as error:
            _logger.warning("control objects are listed anew", error=str(error))
        listed = await self._objects.list(state.CONTROL_KIND)
        # Within an era only the list of a replica can be older.
        is_restored = model.is_of_later_era(
            listed.version, self._state.control_version
        )
        if is_restored and await self._write_lost(listed):
            listed = await self._objects.list(state.CONTROL_KIND)
        present = {entry.name for entry in listed.objects}
        deleted = tuple(sorted(self._state.stored.keys() - present))
        return dataclasses.replace(listed, deleted=deleted)

    async def _write_lost(self, listed: objects.ObjectList) -> bool:
        """Writes what a restored platform lost; returns whether it lost any.

        Raises:
            DragonflydykeError: If a write fails. The next poll repeats it.
        """
        lost = restoration.find_lost_objects(
            self._state.stored, {entry.name: entry for entry in listed.objects}
        )
        for entry in lost:
            if entry.restored_version is None:
                await self._objects.create(
                    state.CONTROL_KIND, entry.name, entry.value
                )
            else:
                await self._objects.update(
                    state.CONTROL_KIND,
                    entry.name,
                    entry.value,
                    entry.restored_version,
                )
            self._counters.increment("restored.written")
            _logger.notice("lost control object written", object=entry.name)
        return bool(lost)

    async def poll_vms(self) -> None:
        """Reads the VM list; a failed read keeps the previous list."""
        try:
            vms = await self._objects.list_vms()
        except errors.DragonflydykeError:
            self._counters.increment("poll_vms.failed")
            return
        self._counters.increment("poll_vms.read")
        self._peer_tracker.set_vms(vms)

    async def _poll_if(self, is_due: Callable[[], bool]) -> None:
        if is_due():
            await self.poll()

    def _adopt(self, listed: objects.ObjectList) -> bool:
        newest_version = max(
            self._newest_store_version, self._state.control_version
        )
        if listed.version < newest_version:
            self._counters.increment("poll.stale_read")
            return False
        self._newest_store_version = listed.version
        version = self._state.control_version
        for entry in listed.objects:
            version = max(version, entry.version)
        adopted = self._state.stored
        if any(name in adopted for name in listed.deleted):
            # The list does not contain the version of a deletion.
            version = listed.version
        try:
            return self._state.adopt(listed.objects, version, listed.deleted)
        except errors.InvariantError:
            # Counted and logged by the state store. Polling continues, and the
            # serving permit expires for lack of a confirmation.
            return False

    def _record_reachability(self, reachable: bool) -> None:
        if reachable is self._reachable:
            return
        self._reachable = reachable
        if reachable:
            _logger.info("platform reachable")
        else:
            _logger.warning("platform unreachable")

    async def _run_periodically(
        self, period_s: float, run: Callable[[], Awaitable[None]]
    ) -> None:
        """Runs a function in each period; a slow run delays the next one."""
        loop = asyncio.get_running_loop()
        while True:
            next_s = loop.time() + period_s
            try:
                await run()
            except Exception as error:
                # A response that cannot be parsed must not end the polling.
                self._counters.increment("poll.fault")
                _logger.error("poll failed", error=repr(error))
            await asyncio.sleep(max(0.0, next_s - loop.time()))
