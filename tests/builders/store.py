"""In-process stub of the platform's metadata store."""

import asyncio
import collections
import copy
import dataclasses
import json
import re
from typing import Any

from tornado import httpserver, web

from dragonflydyke import metrics, settings
from dragonflydyke.emulator import serving
from dragonflydyke.platform import store
from tests.builders import skipping_loop

_LOCAL = settings.Address("127.0.0.1", 0)
_ERA_HEADER = "Store-Era"
_PATH = re.compile(r"/api/objects/([^/]+)(?:/([^/]+))?(/status)?")


@dataclasses.dataclass(slots=True, frozen=True)
class StoreCopy:
    """State of a store stub at a point in time."""

    era: int
    revision: int
    objects: dict[str, dict[str, dict[str, Any]]]


@dataclasses.dataclass(slots=True, frozen=True)
class Transfer:
    """Speed of a response over a narrow link.

    Attributes:
        pieces: Number of pieces in which the body is sent.
        pause_s: Seconds before each piece.
        stops_after: Pieces after which nothing more is sent, None to send all.
    """

    pieces: int
    pause_s: float
    stops_after: int | None = None


class StoreStub:
    """Objects of the store stub and the faults that it injects.

    Attributes:
        objects: Objects by kind and name.
        era: Number of the restorations from a copy, which responses state.
        revision: Revision of the store.
        oldest_revision: Oldest revision from which a watch can continue.
        rejection_status: Status with which all calls are rejected, 0 for none.
        rejected_kinds: Kinds of which all calls are rejected.
        reported_lag: Revisions by which watches report an older revision of the
            store, as a replica that lags behind does.
        replica_lag: Revisions by which replicas that serve stale lists lag.
        stuck_revision: Revision at which the replicas that serve stale reads
            stay, None if they follow the store.
        replica: State that replicas serve to stale lists, None for the current.
        raw_items: Texts of items that other writers left in each list and each
            set of events, with surrogates for bytes that are not UTF-8.
        page_size: Maximum number of objects in a page of a list.
        transfers: How responses to reads of a kind are sent, at once if it is
            not named.
        calls: Received calls as method and path.
        open_watches: Number of watches that wait for a change.
    """

    def __init__(self) -> None:
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.era = 1
        self.revision = 1
        self.oldest_revision = 1
        self.rejection_status = 0
        self.rejected_kinds: set[str] = set()
        self.reported_lag = 0
        self.replica_lag = 0
        self.stuck_revision: int | None = None
        self.replica: StoreCopy | None = None
        self.raw_items: list[str] = []
        self.page_size = 100
        self.transfers: dict[str, Transfer] = {}
        self.calls: list[str] = []
        self.open_watches = 0
        self._silences: collections.Counter[str] = collections.Counter()
        self._events: list[tuple[int, str, bool, dict[str, Any]]] = []
        self._changed = asyncio.Condition()

    async def put(self, kind: str, name: str, spec: Any) -> None:
        """Creates or replaces an object."""
        entries = self.objects.setdefault(kind, {})
        status = entries.get(name, {}).get("status")
        await self.store(kind, name, spec, status)

    async def store(
        self, kind: str, name: str, spec: Any, status: Any
    ) -> dict[str, Any]:
        """Stores spec and status of an object and returns it."""
        self.revision += 1
        entry = {
            "metadata": {"name": name, "rev": self.revision},
            "spec": spec,
            "status": status,
        }
        self.objects.setdefault(kind, {})[name] = entry
        await self._notify(kind, entry, removed=False)
        return entry

    async def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        self.revision += 1
        entry = self.objects[kind].pop(name)
        await self._notify(kind, entry, removed=True)

    def drop_history(self) -> None:
        """Drops the history of changes, so that watches must list again."""
        self.oldest_revision = self.revision + 1

    def silence_watches(self, *kinds: str) -> None:
        """Leaves open watches without a response; later ones work.

        Args:
            *kinds: Kinds whose watches are concerned, all if none is named.
        """
        self._silences.update(kinds or self.objects)

    def take_copy(self) -> StoreCopy:
        """Returns the current state."""
        return StoreCopy(self.era, self.revision, copy.deepcopy(self.objects))

    def restore(self, state: StoreCopy) -> None:
        """Returns to an earlier state; later revisions are issued again."""
        self.era += 1
        self.revision = state.revision
        self.objects = copy.deepcopy(state.objects)
        self._events = [
            event for event in self._events if event[0] <= state.revision
        ]

    async def _notify(
        self, kind: str, entry: dict[str, Any], *, removed: bool
    ) -> None:
        self._events.append((self.revision, kind, removed, entry))
        async with self._changed:
            self._changed.notify_all()

    def find_replica_revision(self, *, is_stale: bool) -> int:
        """Returns the revision of the replica that serves a read."""
        if is_stale and self.stuck_revision is not None:
            # A restore may have taken the store back behind it.
            return min(self.stuck_revision, self.revision)
        return self.revision

    async def wait_events(
        self, kind: str, since: int, wait_s: float, *, is_stale: bool
    ) -> list[dict[str, Any]] | None:
        """Returns events after a revision, None if the history was dropped."""
        silences = self._silences[kind]
        self.open_watches += 1
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: self._find_events(kind, since, is_stale)
                )
        except TimeoutError:
            pass
        finally:
            self.open_watches -= 1
        if silences != self._silences[kind]:
            await asyncio.Event().wait()
        if not self.oldest_revision - 1 <= since <= self.revision:
            return None
        return self._find_events(kind, since, is_stale)

    def _find_events(
        self, kind: str, since: int, is_stale: bool
    ) -> list[dict[str, Any]]:
        until = self.find_replica_revision(is_stale=is_stale)
        return [
            {"removed": removed, "object": entry}
            for revision, found, removed, entry in self._events
            if found == kind and since < revision <= until
        ]


class _StoreHandler(web.RequestHandler):
    def initialize(self, state: StoreStub) -> None:
        self._stub = state
        self._era: int | None = None

    def prepare(self) -> None:
        self._stub.calls.append(f"{self.request.method} {self.request.uri}")
        if self._stub.rejection_status:
            self.send_error(self._stub.rejection_status)
        elif self.path_args[0] in self._stub.rejected_kinds:
            self.send_error(503)

    async def get(self, kind: str, *rest: str) -> None:
        state = self._stub
        is_stale = bool(self.get_query_argument("allowStale", ""))
        watch = self.get_query_argument("watch", "")
        if watch:
            wait_s = int(self.get_query_argument("waitMs")) / 1_000
            events = await state.wait_events(
                kind, int(watch), wait_s, is_stale=is_stale
            )
            if events is None:
                self.send_error(410)
                return
            reported = state.find_replica_revision(is_stale=is_stale)
            reported -= state.reported_lag
            body = {"events": events, "storeRevision": reported}
            await self._reply_over_link(kind, body)
            return
        after = self.get_query_argument("after", "")
        served = state.take_copy()
        if is_stale and state.replica:
            served = state.replica
            self._era = served.era
        revision = served.revision
        if is_stale:
            revision = min(revision, state.find_replica_revision(is_stale=True))
            revision -= state.replica_lag
        found = sorted(served.objects.get(kind, {}).items())
        items = [
            entry
            for name, entry in found
            if name > after and entry["metadata"]["rev"] <= revision
        ]
        page = items[: state.page_size]
        await self._reply_over_link(
            kind,
            {
                "items": page,
                "more": len(items) > len(page),
                "storeRevision": revision,
            },
        )

    async def post(self, kind: str, *rest: str) -> None:
        state = self._stub
        body = json.loads(self.request.body)
        name = body["metadata"]["name"]
        present = state.objects.get(kind, {}).get(name)
        if present is not None:
            self.set_status(409)
            self._reply(present)
            return
        self._reply(await state.store(kind, name, body["spec"], None))

    async def delete(self, kind: str, name: str, *rest: str) -> None:
        state = self._stub
        if name not in state.objects.get(kind, {}):
            self.send_error(404)
            return
        await state.remove(kind, name)
        self._reply({})

    async def put(self, kind: str, name: str, status: str) -> None:
        state = self._stub
        body = json.loads(self.request.body)
        present = state.objects.get(kind, {}).get(name)
        if present is None:
            self.send_error(404)
            return
        current = present["metadata"]["rev"]
        if body["metadata"].get("rev", current) != current:
            self.set_status(409)
            self._reply(present)
            return
        fields = present | body
        self._reply(
            await state.store(kind, name, fields["spec"], fields["status"])
        )

    def send_error(self, status_code: int = 500, **kwargs: Any) -> None:
        """Responds without a body; tornado would drop the headers."""
        del kwargs
        self.set_status(status_code)
        self._write_era()
        self.finish()

    def _write_era(self) -> None:
        """States the era in which the call ends, or that of the replica."""
        era = self._stub.era if self._era is None else self._era
        self.set_header(_ERA_HEADER, str(era))

    async def _reply_over_link(self, kind: str, body: Any) -> None:
        transfer = self._stub.transfers.get(kind)
        if transfer is None or not (body.get("items") or body.get("events")):
            self._reply(body)
            return
        text = json.dumps(body)
        self._write_era()
        self.set_header("Content-Length", str(len(text)))
        size = -(-len(text) // transfer.pieces)
        for number in range(transfer.pieces):
            if number == transfer.stops_after:
                await asyncio.Event().wait()
            await asyncio.sleep(transfer.pause_s)
            self.write(text[number * size : (number + 1) * size])
            await self.flush()

    def _reply(self, body: Any) -> None:
        self.set_header("Content-Type", "application/json")
        self._write_era()
        text = json.dumps(body)
        for item in self._stub.raw_items:
            text = text.replace('"items": [', f'"items": [{item}, ', 1)
            event = f'{{"removed": false, "object": {item}}}'
            text = text.replace('"events": [{', f'"events": [{event}, {{', 1)
        text = text.replace(", ]", "]")
        # Items of other writers may have bytes that are not UTF-8.
        self.finish(text.encode("utf-8", "surrogateescape"))


def start_store(stub: StoreStub) -> tuple[httpserver.HTTPServer, int]:
    """Serves a store stub; returns the server and the port."""
    application = web.Application(
        [(_PATH.pattern, _StoreHandler, {"state": stub})],
        log_function=lambda handler: None,
    )
    return serving.start_server(application, _LOCAL)


class StoreTestCase(skipping_loop.SkippingTestCase):
    """Test case with a store stub as `stub` and its client as `store`."""

    async def asyncSetUp(self) -> None:
        """Starts the store stub."""
        await super().asyncSetUp()
        self.stub = StoreStub()
        server, self.port = start_store(self.stub)
        self.addAsyncCleanup(serving.stop_server, server)
        self.counters = metrics.Counters()
        self.store = store.PlatformStore(
            f"http://127.0.0.1:{self.port}", self.counters
        )


def build_server_spec(**fields: object) -> dict[str, Any]:
    """Returns the entry of a backend server."""
    spec: dict[str, Any] = {
        "service": "engines",
        "address": "10.0.0.9:8080",
        "zone": "north",
        "version": "v1",
        "slots": 64,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 4,
    }
    return spec | fields


def build_policy_spec(**fields: object) -> dict[str, Any]:
    """Returns a configuration with one route."""
    spec: dict[str, Any] = {
        "version": 7,
        "routes": [
            {
                "name": "r1",
                "host": "api.example",
                "pathPrefix": "/streams/",
                "kind": "streaming",
                "timeoutMs": 6_000,
                "targetLatencyMs": 3_000,
                "priority": 0,
                "sizes": ["small", "large"],
                "trafficSplit": [
                    {"service": "engines", "weight": 90},
                    {"service": "others", "weight": 10},
                ],
                "maxAttempts": 3,
                "anonymous": False,
                "sessionAffinity": True,
                "streamResume": True,
                "gapAimMs": 1_500,
            }
        ],
        "services": [
            {
                "name": "engines",
                "healthPath": "/healthz",
                "maxConnections": 370,
                "engine": {
                    "slots": 64,
                    "kvCapacity": 500_000,
                    "models": [{"name": "small", "cost": 0.01}],
                },
            }
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": "acme", "apiKeys": ["k1", "k2"], "priority": 1}],
    }
    return spec | fields
