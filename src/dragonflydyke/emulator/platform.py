"""HTTP API of the emulated platform: object store and VM list."""

import asyncio
import collections
import contextlib
import copy
import dataclasses
import time
from typing import Any

from tornado import web

from dragonflydyke import objects
from dragonflydyke.emulator import serving, store
from dragonflydyke.objects import client, model

MAX_VALUE_BYTES = 1_000_000
_TAKE_COPY = "take_copy"
_RESTORE = "restore"
_COMMANDS = (_TAKE_COPY, _RESTORE)
_MAX_WAIT_S = 60.0
_MS_PER_S = 1_000
# Optional path prefix /as/<viewer>, which identifies the reader of the VM
# list, so that each reader can get other inner addresses.
_VIEWER_PREFIX = "(?:/as/[^/]+)?"


@dataclasses.dataclass(slots=True)
class PlatformBehaviour:
    """Faults and delays, which can be changed at run time.

    Attributes:
        latency_s: Delay in seconds before a call is executed.
        reads_per_s: Maximum rate of reads; further reads are delayed. 0 for
            no limit.
        writes_per_s: Maximum rate of writes; further writes are delayed. 0 for
            no limit.
        answer_delay_s: Delay in seconds between execution and response.
        outage: Calls are rejected with 503 and not executed.
        hang: Calls are blocked before execution until this is false again.
        cut: Connections are closed and calls are not executed.
        lose_answers: Number of writes that take effect but whose connection is
            closed without a response; -1 for all.
        stale_reads: Reads of objects and lists return the state at the time
            when this became true.
        vm_list_lag_s: Delay in seconds until a new VM list is visible.
    """

    latency_s: float = 0.0
    reads_per_s: float = 0.0
    writes_per_s: float = 0.0
    answer_delay_s: float = 0.0
    outage: bool = False
    hang: bool = False
    cut: bool = False
    lose_answers: int = 0
    stale_reads: bool = False
    vm_list_lag_s: float = 0.0


class _RateLimiter:
    """Delays calls to a steady rate, in order of arrival."""

    __slots__ = ("_next_at",)

    def __init__(self) -> None:
        self._next_at = 0.0

    async def acquire(self, calls_per_s: float) -> None:
        """Waits until the call may be executed; a rate of 0 means no limit."""
        if not calls_per_s:
            return
        now = asyncio.get_running_loop().time()
        start_at = max(now, self._next_at)
        self._next_at = start_at + 1 / calls_per_s
        await asyncio.sleep(start_at - now)


class PlatformState:
    """State that the handlers of an emulated platform share.

    Attributes:
        behaviour: Faults and delays.
        calls: Counters of calls by HTTP method and by outcome.
        changed: Set at the next change of behaviour or store, then replaced.
        read_limiter: Limits the rate of reads.
        store: Current objects.
        waiting_watches: Number of watches that wait for a change.
        write_limiter: Limits the rate of writes.
    """

    __slots__ = (
        "_copy",
        "_stale_store",
        "_viewer_addresses",
        "_vm_lists",
        "behaviour",
        "calls",
        "changed",
        "read_limiter",
        "store",
        "waiting_watches",
        "write_limiter",
    )

    def __init__(self) -> None:
        self.behaviour = PlatformBehaviour()
        self.store = store.MemoryStore()
        self.calls: collections.Counter[str] = collections.Counter()
        self.changed = asyncio.Event()
        self.waiting_watches = 0
        self.read_limiter = _RateLimiter()
        self.write_limiter = _RateLimiter()
        self._stale_store: store.MemoryStore | None = None
        self._copy = self.store.take_copy()
        # VM lists and the loop times at which they become visible, oldest
        # first.
        self._vm_lists: list[tuple[float, Any]] = [
            (0.0, {"as_of_ms": 0, "vms": []})
        ]
        # Inner addresses by viewer and VM name; a viewer or VM without an
        # entry gets the address of the list.
        self._viewer_addresses: dict[str, dict[str, str]] = {}

    def select_read_store(self) -> store.MemoryStore:
        """Returns the store that serves reads: the current or a stale one."""
        return self._stale_store or self.store

    def control(self, changes: Any) -> None:
        """Changes the behaviour and notifies calls that wait for a change.

        Args:
            changes: Fields of the behaviour. With `take_copy`, a copy of the
                store is taken; with `restore`, the store returns to the newest
                copy and enters a new era.
        """
        commands = set()
        if isinstance(changes, dict):
            commands = {name for name in _COMMANDS if changes.get(name)}
            changes = {
                name: value
                for name, value in changes.items()
                if name not in _COMMANDS
            }
        serving.update_behaviour(self.behaviour, changes)
        if _TAKE_COPY in commands:
            self._copy = self.store.take_copy()
        if _RESTORE in commands:
            self.store.restore(self._copy)
        if not self.behaviour.stale_reads:
            self._stale_store = None
        elif self._stale_store is None:
            self._stale_store = copy.deepcopy(self.store)
        self.notify()

    def notify(self) -> None:
        """Notifies watches and blocked calls."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Waits for the next change or the timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.changed.wait()

    def set_vms(self, vms: list[Any]) -> None:
        """Replaces the VM list after the configured lag."""
        visible_at_s = asyncio.get_running_loop().time()
        visible_at_s += self.behaviour.vm_list_lag_s
        entry = {"as_of_ms": int(time.time() * _MS_PER_S), "vms": vms}
        self._vm_lists.append((visible_at_s, entry))

    def set_viewer_addresses(
        self, addresses: dict[str, dict[str, str]]
    ) -> None:
        """Sets the inner addresses by viewer and VM name, without the lag."""
        self._viewer_addresses = addresses

    def list_visible_vms(self, viewer: str | None = None) -> Any:
        """Returns the newest VM list that is visible to a viewer."""
        now = asyncio.get_running_loop().time()
        while len(self._vm_lists) > 1 and self._vm_lists[1][0] <= now:
            self._vm_lists.pop(0)
        listed = self._vm_lists[0][1]
        addresses = self._viewer_addresses.get(viewer or "", {})
        vms = [
            vm
            | {"inner_address": addresses.get(vm["name"], vm["inner_address"])}
            for vm in listed["vms"]
        ]
        return listed | {"vms": vms}


class _PlatformHandler(serving.JsonHandler):
    """Counts calls and applies delays and faults."""

    def initialize(self, state: PlatformState) -> None:
        """Receives the shared state."""
        self.state = state

    async def prepare(self) -> None:
        """Applies delays and faults before the call is executed."""
        behaviour = self.state.behaviour
        self.state.calls[self.request.method or ""] += 1
        if behaviour.latency_s:
            await asyncio.sleep(behaviour.latency_s)
        if self.request.method == "GET":
            await self.state.read_limiter.acquire(behaviour.reads_per_s)
        else:
            await self.state.write_limiter.acquire(behaviour.writes_per_s)
        while behaviour.hang:
            await self.state.wait_for_change(_MAX_WAIT_S)
        if behaviour.cut:
            self.state.calls["cut"] += 1
            self.abort_connection()
        elif behaviour.outage:
            self.state.calls["refused"] += 1
            self.write_json({"error": "outage"}, 503)
            await self.finish()

    async def send_response(self, content: Any, status: int = 200) -> None:
        """Sends the response of a read, or of a write without effect."""
        served = self.state.store
        if self.request.method == "GET":
            served = self.state.select_read_store()
        self.set_header(client.ERA_HEADER, str(served.era))
        if self.state.behaviour.answer_delay_s:
            await asyncio.sleep(self.state.behaviour.answer_delay_s)
        self.write_json(content, status)

    async def send_write_response(self, content: Any) -> None:
        """Sends the response of a write that took effect, or loses it."""
        self.state.notify()
        behaviour = self.state.behaviour
        self.state.calls["writes"] += 1
        if behaviour.lose_answers:
            behaviour.lose_answers -= behaviour.lose_answers > 0
            self.state.calls["lost_answers"] += 1
            self.abort_connection()
            return
        await self.send_response(content)


class _ObjectHandler(_PlatformHandler):
    """`/v1/objects/<kind>/<name>`: reads, writes and deletes one object."""

    async def get(self, kind: str, name: str) -> None:
        """Reads an object."""
        stored = self.state.select_read_store().get(kind, name)
        if stored is None:
            await self.send_response(None, 404)
            return
        await self.send_response(_serialize_object(stored))

    async def put(self, kind: str, name: str) -> None:
        """Creates or replaces an object if its version is as expected."""
        if len(self.request.body) > MAX_VALUE_BYTES:
            await self.send_response(
                {"error": "the value is larger than 1 MB; split it"}, 413
            )
            return
        value = self.read_json()
        try:
            stored = self.state.store.put(
                kind, name, value, self._read_expected_version()
            )
        except objects.ConflictError as conflict:
            await self._send_conflict(conflict)
            return
        await self.send_write_response(_serialize_object(stored))

    async def delete(self, kind: str, name: str) -> None:
        """Deletes an object if its version is as expected."""
        expected_version = self._read_expected_version()
        if expected_version is None:
            raise web.HTTPError(400, "DELETE requires If-Match: <version>")
        try:
            self.state.store.delete(kind, name, expected_version)
        except objects.ConflictError as conflict:
            await self._send_conflict(conflict)
            return
        await self.send_write_response({})

    async def _send_conflict(self, conflict: objects.ConflictError) -> None:
        self.state.calls["conflicts"] += 1
        present = conflict.current
        content = _serialize_object(present) if present else None
        await self.send_response(content, 409)

    def _read_expected_version(self) -> int | None:
        headers = self.request.headers
        if headers.get("If-None-Match") == "*":
            return None
        version = headers.get("If-Match", "")
        if not version.isdigit():
            raise web.HTTPError(
                400, "send If-None-Match: * or If-Match: <version>"
            )
        return model.combine_version(self.state.store.era, int(version))


@dataclasses.dataclass(slots=True, frozen=True)
class _ListQuery:
    """Parameters of a list or watch call."""

    kind: str
    since: int
    prefix: str
    limit: int


class _ListHandler(_PlatformHandler):
    """`/v1/objects/<kind>`: lists and watches objects."""

    async def get(self, kind: str) -> None:
        """Lists newer objects; with wait_s, waits up to that time for some."""
        try:
            since = int(self.get_query_argument("since", "0"))
            limit = int(self.get_query_argument("limit", "0"))
            wait_s = float(self.get_query_argument("wait_s", "0"))
        except ValueError as error:
            raise web.HTTPError(400, f"not a number: {error}") from error
        prefix = self.get_query_argument("prefix", "")
        era = self.state.select_read_store().era
        version = model.combine_version(era, since) if since else 0
        query = _ListQuery(kind, version, prefix, limit)
        try:
            found = await self._watch(query, wait_s)
        except model.HistoryLostError as error:
            await self.send_response({"error": str(error)}, 410)
            return
        await self.send_response(
            {
                "version": model.find_revision(found.version),
                "objects": [
                    _serialize_object(stored) for stored in found.objects
                ],
                "deleted": found.deleted,
                "complete": found.complete,
            }
        )

    async def _watch(
        self, query: _ListQuery, wait_s: float
    ) -> objects.ObjectList:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + min(wait_s, _MAX_WAIT_S)
        while True:
            found = self.state.select_read_store().list(
                query.kind, query.since, query.prefix, query.limit
            )
            remaining_s = end_s - loop.time()
            if found.objects or found.deleted or remaining_s <= 0:
                return found
            self.state.waiting_watches += 1
            try:
                await self.state.wait_for_change(remaining_s)
            finally:
                self.state.waiting_watches -= 1


class _VmHandler(_PlatformHandler):
    """`/v1/vms` and `/as/<viewer>/v1/vms`: reads and replaces the VM list."""

    async def get(self, viewer: str | None = None) -> None:
        """Returns the visible VM list."""
        await self.send_response(self.state.list_visible_vms(viewer))

    async def put(self, viewer: str | None = None) -> None:
        """Replaces the VM list.

        The body is an array of VMs, or an object with `vms` and optionally
        `views`: inner addresses by viewer and VM name.
        """
        del viewer
        content = self.read_json()
        vms = content.get("vms") if isinstance(content, dict) else content
        fields = {field.name for field in dataclasses.fields(objects.ListedVm)}
        if not isinstance(vms, list) or any(set(vm) != fields for vm in vms):
            raise web.HTTPError(
                400,
                f"each VM must have the fields {', '.join(sorted(fields))}",
            )
        if isinstance(content, dict) and "views" in content:
            self.state.set_viewer_addresses(content["views"])
        self.state.set_vms(vms)
        await self.send_response({})


class _ControlHandler(serving.JsonHandler):
    """`/control`; its calls are not counted and not subject to faults."""

    def initialize(self, state: PlatformState) -> None:
        """Receives the shared state."""
        self.state = state

    def get(self) -> None:
        """Returns behaviour and counters."""
        self.write_json(
            {
                "behaviour": dataclasses.asdict(self.state.behaviour),
                "calls": dict(self.state.calls),
                "store_version": model.find_revision(self.state.store.version),
                "store_era": self.state.store.era,
                "waiting_watches": self.state.waiting_watches,
            }
        )

    def post(self) -> None:
        """Changes the behaviour and returns the resulting state."""
        self.state.control(self.read_json())
        self.get()


def _serialize_object(stored: objects.StoredObject) -> dict[str, Any]:
    return {
        "kind": stored.kind,
        "name": stored.name,
        "version": model.find_revision(stored.version),
        "value": stored.value,
    }


def build_application(state: PlatformState | None = None) -> web.Application:
    """Returns the web application of an emulated platform."""
    arguments = {"state": state or PlatformState()}
    return web.Application(
        [
            (
                rf"{_VIEWER_PREFIX}/v1/objects/([^/]+)/([^/]+)",
                _ObjectHandler,
                arguments,
            ),
            (rf"{_VIEWER_PREFIX}/v1/objects/([^/]+)", _ListHandler, arguments),
            (r"(?:/as/([^/]+))?/v1/vms", _VmHandler, arguments),
            (r"/control", _ControlHandler, arguments),
        ],
        log_function=serving.discard_access_log,
    )
