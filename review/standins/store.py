"""Stand-in for the platform's metadata store, as the users' pages tell it.

It loses nothing that it acknowledged, and its answers are linearizable unless
a call allows stale data.
"""

import asyncio
import copy
import dataclasses
import json
import time
from collections.abc import Callable
from typing import Any
from urllib import parse

from standins import http

_PATH = "/api/objects/"
_FIRST_REVISION = 100
_POLL_S = 0.005
_MAX_WAIT_S = 30.0


@dataclasses.dataclass(slots=True)
class Event:
    """A change of an object, acknowledged at a time of the monotonic clock."""

    at_s: float
    revision: int
    kind: str
    name: str
    entry: dict[str, Any]
    removed: bool


@dataclasses.dataclass(slots=True)
class Call:
    """A read of the store that is about to be answered.

    Attributes:
        kind: Kind of the objects.
        is_watch: Whether it is a watch.
        is_stale: Whether it allows stale data.
        events: Number of changes in the answer to a watch.
    """

    kind: str
    is_watch: bool
    is_stale: bool
    events: int = 0


class Store:
    """The store.

    Attributes:
        lag_s: Seconds by which answers that may be stale are behind.
        loses: Returns whether the answer to a read is lost; its connection then
            returns nothing further.
        answered: Reads that were answered, with the time.
        lost: Reads whose answer was lost, with the time.
    """

    def __init__(self) -> None:
        self.lag_s = 0.0
        self.loses: Callable[[Call], bool] = lambda call: False
        self.answered: list[tuple[float, Call]] = []
        self.lost: list[tuple[float, Call]] = []
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._log: list[Event] = []
        self._revision = _FIRST_REVISION
        self._replica_revision = _FIRST_REVISION
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """Starts the store and returns its address."""
        self._server, port = await http.start_server(self._handle)
        return f"127.0.0.1:{port}"

    def put(self, kind: str, name: str, spec: Any) -> float:
        """Writes an object for the operator or a runner.

        Returns:
            Time of the acknowledgement.
        """
        found = self._objects.get(kind, {}).get(name)
        entry = copy.deepcopy(found) if found else _build_entry(name)
        entry["spec"] = spec
        return self._record(kind, name, entry, removed=False)

    def remove(self, kind: str, name: str) -> float:
        """Removes an object; returns the time of the acknowledgement."""
        entry = self._objects[kind].pop(name)
        return self._record(kind, name, entry, removed=True)

    def read(self, kind: str, name: str) -> dict[str, Any] | None:
        """Returns an object as it is now."""
        return self._objects.get(kind, {}).get(name)

    def _record(
        self, kind: str, name: str, entry: dict[str, Any], *, removed: bool
    ) -> float:
        self._revision += 1
        entry["metadata"]["rev"] = self._revision
        now_s = time.monotonic()
        if not removed:
            self._objects.setdefault(kind, {})[name] = entry
        shown = copy.deepcopy(entry)
        self._log.append(
            Event(now_s, self._revision, kind, name, shown, removed)
        )
        return now_s

    def _find_revision(self, *, is_stale: bool) -> int:
        if not is_stale:
            return self._revision
        limit_s = time.monotonic() - self.lag_s
        for event in self._log:
            if event.at_s <= limit_s and event.revision > (
                self._replica_revision
            ):
                self._replica_revision = event.revision
        return self._replica_revision

    def _view(self, kind: str, revision: int) -> dict[str, dict[str, Any]]:
        found: dict[str, dict[str, Any]] = {}
        for event in self._log:
            if event.kind != kind or event.revision > revision:
                continue
            if event.removed:
                found.pop(event.name, None)
            else:
                found[event.name] = event.entry
        return found

    async def _handle(
        self, request: http.Request, writer: asyncio.StreamWriter
    ) -> bool:
        path, _, query = request.target.partition("?")
        parameters = dict(parse.parse_qsl(query))
        kind, _, rest = path.removeprefix(_PATH).partition("/")
        name = parse.unquote(rest)
        if request.method != "GET":
            writer.write(self._write(request, kind, name))
            return True
        if name:
            entry = self.read(kind, name)
            writer.write(http.format_json(200 if entry else 404, entry))
            return True
        call = Call(kind, "watch" in parameters, "allowStale" in parameters)
        if call.is_watch:
            page = await self._watch(call, parameters)
        else:
            page = self._list(call, parameters)
        if self.loses(call):
            self.lost.append((time.monotonic(), call))
            return False
        self.answered.append((time.monotonic(), call))
        writer.write(http.format_json(200, page))
        return True

    def _list(self, call: Call, parameters: dict[str, str]) -> Any:
        revision = self._find_revision(is_stale=call.is_stale)
        view = self._view(call.kind, revision)
        after = parameters.get("after", "")
        items = [view[name] for name in sorted(view) if name > after]
        return {"items": items, "more": False, "storeRevision": revision}

    async def _watch(self, call: Call, parameters: dict[str, str]) -> Any:
        since = int(parameters["watch"])
        wait_s = min(int(parameters.get("waitMs", "0")) / 1_000, _MAX_WAIT_S)
        until_s = time.monotonic() + wait_s
        while True:
            revision = self._find_revision(is_stale=call.is_stale)
            found = [
                {"removed": event.removed, "object": event.entry}
                for event in self._log
                if event.kind == call.kind
                and since < event.revision <= revision
            ]
            if found or time.monotonic() >= until_s:
                call.events = len(found)
                return {"events": found, "storeRevision": revision}
            await asyncio.sleep(_POLL_S)

    def _write(self, request: http.Request, kind: str, name: str) -> bytes:
        body = json.loads(request.body) if request.body else {}
        name, _, part = name.partition("/")
        if request.method == "POST":
            name = body["metadata"]["name"]
        entry = self.read(kind, name)
        revision = body.get("metadata", {}).get("rev")
        if request.method == "POST" and entry is None:
            self.put(kind, name, body.get("spec"))
            return http.format_json(201, self.read(kind, name))
        if entry is None:
            return http.format_json(404, None)
        is_changed = revision not in (None, entry["metadata"]["rev"])
        if request.method == "POST" or is_changed:
            return http.format_json(409, entry)
        if request.method == "DELETE":
            self.remove(kind, name)
            return http.format_json(200, entry)
        field = part or "spec"
        if entry[field] != body.get(field):
            entry[field] = body.get(field)
            self._record(kind, name, entry, removed=False)
        return http.format_json(200, entry)


def _build_entry(name: str) -> dict[str, Any]:
    metadata = {
        "name": name,
        "rev": 0,
        "createdAt": int(time.time() * 1_000),
        "finalizers": [],
        "deleting": False,
    }
    return {"metadata": metadata, "spec": None, "status": None}
