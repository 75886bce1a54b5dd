"""Stand-in for the platform's metadata store."""

import asyncio
import dataclasses
import json
import time
from typing import Any
from urllib import parse

from standins import wire

_PREFIX = "/api/objects/"
_ANSWER_S = 0.004
_HISTORY_S = 20.0


@dataclasses.dataclass(slots=True)
class _Change:
    """A change and the time at which it was made."""

    revision: int
    made_s: float
    kind: str
    event: dict[str, Any]


class Store:
    """Objects by kind and name, with one revision counter.

    Attributes:
        address: `host:port` once it was started.
    """

    def __init__(self) -> None:
        self.address = ""
        self._revision = 100
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[_Change] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Starts to answer calls."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def find(self, kind: str, name: str) -> dict[str, Any] | None:
        """Returns an object, None if there is none."""
        return self._objects.get(kind, {}).get(name)

    def put(
        self,
        kind: str,
        name: str,
        *,
        spec: Any = None,
        status: Any = None,
    ) -> dict[str, Any]:
        """Writes the spec or the status of an object."""
        present = self.find(kind, name)
        metadata = {"name": name, "finalizers": [], "deleting": False}
        metadata["createdAt"] = int(time.time() * 1_000)
        if present is not None:
            metadata = dict(present["metadata"])
        entry = {
            "metadata": metadata,
            "spec": present["spec"] if present and spec is None else spec,
            "status": present.get("status") if present else None,
        }
        if status is not None:
            entry["status"] = status
        if present is not None and (
            present["spec"] == entry["spec"]
            and present["status"] == entry["status"]
        ):
            return present
        self._revision += 1
        metadata["rev"] = self._revision
        self._objects.setdefault(kind, {})[name] = entry
        self._record(kind, entry, is_removed=False)
        return entry

    def remove(self, kind: str, name: str) -> None:
        """Removes an object if there is one."""
        entry = self._objects.get(kind, {}).pop(name, None)
        if entry is not None:
            self._revision += 1
            self._record(kind, entry, is_removed=True)

    def _record(
        self, kind: str, entry: dict[str, Any], *, is_removed: bool
    ) -> None:
        event = {"object": entry, "removed": is_removed}
        now_s = time.monotonic()
        self._history.append(_Change(self._revision, now_s, kind, event))
        while self._history[0].made_s < now_s - _HISTORY_S:
            del self._history[0]
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (call := await wire.read_head(reader)) is not None:
                await wire.read_body(reader, call, is_response=False)
                status, document = await self._answer(call)
                body = json.dumps(document).encode()
                headers = {"Content-Type": "application/json"}
                writer.write(wire.format_response(status, headers, body))
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def _answer(self, call: wire.Message) -> tuple[int, Any]:
        await asyncio.sleep(_ANSWER_S)
        path, _, query_text = call.target.partition("?")
        query = dict(parse.parse_qsl(query_text))
        parts = [
            parse.unquote(p) for p in path.removeprefix(_PREFIX).split("/")
        ]
        kind = parts[0]
        if call.method == "GET" and len(parts) == 1:
            if "watch" in query:
                return await self._watch(kind, query)
            return 200, self._list(kind, query)
        if call.method == "GET":
            found = self.find(kind, parts[1])
            return (200, found) if found else (404, {})
        return self._write(call, parts, query)

    def _list(self, kind: str, query: dict[str, str]) -> Any:
        found = self._objects.get(kind, {})
        names = sorted(name for name in found if name > query.get("after", ""))
        return {
            "items": [found[name] for name in names],
            "more": False,
            "storeRevision": self._revision,
        }

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        since = int(query["watch"])
        until_s = time.monotonic() + int(query.get("waitMs", "0")) / 1_000
        while True:
            oldest = self._history[0].revision if self._history else since
            if since + 1 < oldest or since > self._revision:
                return 410, {}
            events = [
                change.event
                for change in self._history
                if change.kind == kind and change.revision > since
            ]
            remaining_s = until_s - time.monotonic()
            if events or remaining_s <= 0:
                return 200, {
                    "events": events,
                    "storeRevision": self._revision,
                }
            changed = self._changed
            try:
                async with asyncio.timeout(remaining_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def _write(
        self, call: wire.Message, parts: list[str], query: dict[str, str]
    ) -> tuple[int, Any]:
        kind = parts[0]
        body = json.loads(call.body) if call.body else {}
        name = parts[1] if len(parts) > 1 else body["metadata"]["name"]
        present = self.find(kind, name)
        if call.method == "POST":
            if present is not None:
                return 409, present
            return 201, self.put(kind, name, spec=body.get("spec"))
        if present is None:
            return 404, {}
        condition = body.get("metadata", {}).get("rev", query.get("rev"))
        if (
            condition is not None
            and int(condition) != present["metadata"]["rev"]
        ):
            return 409, present
        if call.method == "DELETE":
            self.remove(kind, name)
            return 200, present
        if len(parts) > 2:
            return 200, self.put(kind, name, status=body.get("status"))
        return 200, self.put(kind, name, spec=body.get("spec"))
