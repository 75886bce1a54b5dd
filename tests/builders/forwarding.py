"""Builders for a forwarding node, its requests and its clients."""

import asyncio
import dataclasses
import random
from collections.abc import Callable

from tornado import tcpclient

from dragonflydyke import metrics, settings, transport
from dragonflydyke.configuration import model as configuration
from dragonflydyke.forwarding import (
    brittle_servers,
    contexts,
    controller,
    cost_records,
    crash_reports,
    directory,
    evacuations,
    execution,
    failure_domains,
    locations,
    messages,
    model,
    planner,
    quarantine,
    regions,
    reports,
    response_memory,
    rollouts,
    selection,
    server,
    server_limits,
    server_statements,
)
from dragonflydyke.platform import headers
from dragonflydyke.platform import reports as platform_reports
from dragonflydyke.scheduling import costs
from tests.builders import scripted_servers, shared_objects, skipping_loop

DATA_CENTRE = "north"
HOST = "api.example"
KEY = "secret-key"
EXPOSURE_SHARE = 0.15
MODELS = ("small", "middle", "large")
_LOCAL = settings.Address("127.0.0.1", 0)


@dataclasses.dataclass(slots=True)
class ClientResponse:
    """A response to a client; `is_complete` is false if it was truncated."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


def build_route(**fields: object) -> model.Route:
    """Returns a route of streams that can resume on another server."""
    values: dict[str, object] = {
        "name": "streams",
        "host": HOST,
        "path_prefix": "/streams/",
        "kind": model.RequestKind.STREAM,
        "timeout_s": 12.0,
        "target_latency_s": 2.0,
        "priority": 1,
        "pools": (model.PoolShare("engines", 1.0),),
        "max_attempts": 3,
        "resumable": True,
        "max_event_gap_s": 1.5,
    }
    return model.Route(**(values | fields))


def build_plain_route(
    kind: model.RequestKind = model.RequestKind.IDEMPOTENT,
) -> model.Route:
    """Returns a route of calls to the pool `plain`, which has no engines."""
    return build_route(
        kind=kind, resumable=False, pools=(model.PoolShare("plain", 1.0),)
    )


def build_policy(
    *routes: model.Route,
    version: int = 1,
    key: str = KEY,
    engine: model.EngineCapacity | None = None,
) -> model.ForwardingPolicy:
    """Returns a configuration with one account and pool `engines`."""
    return model.ForwardingPolicy(
        version,
        routes or (build_route(),),
        (
            model.Pool("engines", has_engines=True, engine=engine),
            model.Pool("plain"),
        ),
        (model.Account("acme", (key,)),),
        model.ClientLimits(),
    )


def build_server_entry(
    name: str,
    *,
    port: int = 1,
    pool: str = "engines",
    version: str = "v1",
    data_centre: str = DATA_CENTRE,
    state: configuration.ServerState = configuration.ServerState.ACTIVE,
    started_ms: int = 0,
    cold_s: float = 0.0,
    revision: int = 1,
    slots: int = 64,
) -> directory.ServerEntry:
    """Returns a backend server on this machine."""
    return directory.ServerEntry(
        configuration.BackendServer(
            name=name,
            kind=configuration.ServerKind.ENGINE,
            url=f"http://127.0.0.1:{port}",
            data_centre=data_centre,
            serves=(f"{pool}@{version}",),
            slots=slots,
            state=state,
        ),
        pool,
        version,
        started_ms,
        cold_s,
        revision,
    )


def build_request(
    *,
    path: str = "/streams/1",
    key: str = KEY,
    received_s: float = 0.0,
    **details: object,
) -> messages.IncomingRequest:
    """Returns a complete request."""
    values: dict[str, object] = {
        "request_id": "r1",
        "deadline_s": 10.0,
        "api_key": key,
    }
    return messages.IncomingRequest(
        method="POST",
        target=path,
        host=HOST,
        headers={},
        body=b"",
        received_s=received_s,
        details=messages.RequestDetails(**(values | details)),
    )


class StoreKnowledge:
    """Knowledge of the store that is refreshed before a use if it is overdue.

    Attributes:
        refresh: Called once, by the next use; None if nothing is overdue.
    """

    def __init__(self) -> None:
        self.refresh: Callable[[], object] | None = None

    async def refresh_if_overdue(self) -> None:
        """Calls `refresh`, after others had a chance to run."""
        refresh, self.refresh = self.refresh, None
        if refresh is not None:
            await asyncio.sleep(0)
            refresh()


class ForwardingTestCase(skipping_loop.SkippingTestCase):
    """Test case with a forwarding server and scripted backend servers."""

    async def asyncSetUp(self) -> None:
        """Starts the forwarding server without backend servers."""
        await super().asyncSetUp()
        source = random.Random(7)
        self.counters = metrics.Counters()
        self.directory = directory.Directory()
        self.evacuations = evacuations.Evacuations(self.counters)
        self.regions = regions.Regions({})
        self.rollout_controller = controller.RolloutController(
            "vm1",
            shared_objects.RejectingRolloutStore(),
            self.counters,
            source,
            rollouts.ExposureLimit(EXPOSURE_SHARE),
        )
        self.crash_store = shared_objects.RecordingCrashStore()
        self.quarantine = quarantine.RequestQuarantine()
        self.crash_reporter = crash_reports.CrashReporter(
            self.quarantine, self.crash_store, self.counters, source
        )
        self.time_of_day_s = 1_000_000.0
        self.limits = server_limits.ServerLimits(lambda: self.time_of_day_s)
        self.brittle = brittle_servers.BrittleServers(
            lambda: self.limits.position.nodes, self.counters, source
        )
        self.statements = server_statements.ServerStatements(
            self.directory, self.limits, self.brittle, self.counters
        )
        self.failure_domains = failure_domains.FailureDomains(self.counters)
        self.response_memory = response_memory.ResponseMemory()
        self.store_knowledge = StoreKnowledge()
        self.costs = costs.CostModel()
        self.cost_recorder = cost_records.CostRecorder(
            self.costs, self.counters
        )
        codec = headers.HeaderCodec()
        self.services = contexts.ForwardingServices(
            store_knowledge=self.store_knowledge,
            codec=codec,
            directory=self.directory,
            locations=locations.LocationFilter(self.evacuations, self.regions),
            rollout_controller=self.rollout_controller,
            selector=selection.ServerSelector(
                DATA_CENTRE, source, self.costs.speeds
            ),
            planner=planner.EscalationPlanner(
                DATA_CENTRE,
                reports.ReportReader(
                    platform_reports.ReportCodec(), self.counters
                ),
                source,
                self.costs,
            ),
            costs=self.costs,
            cost_recorder=self.cost_recorder,
            quarantine=self.quarantine,
            crash_reporter=self.crash_reporter,
            statements=self.statements,
            failure_domains=self.failure_domains,
            response_memory=self.response_memory,
            counters=self.counters,
            tcp_client=tcpclient.TCPClient(transport.AddressResolver()),
        )
        self.forwarder = execution.Forwarder(self.services)
        self.forwarder.policy = build_policy()
        self.server = server.ForwardingServer(self.forwarder, codec)
        self.port = self.server.listen(_LOCAL)
        self.addAsyncCleanup(self.server.stop)
        self.servers: dict[str, scripted_servers.ScriptedServer] = {}
        self._listed_servers: list[directory.ServerEntry] = []

    async def start_server(
        self,
        name: str,
        script: scripted_servers.Script,
        *,
        reads_bodies: bool = True,
        **fields: str,
    ) -> scripted_servers.ScriptedServer:
        """Starts a scripted server and adds it to the directory."""
        scripted = scripted_servers.ScriptedServer(name, script)
        scripted.reads_bodies = reads_bodies
        port = await scripted.start()
        self.addAsyncCleanup(scripted.stop)
        self.servers[name] = scripted
        self._listed_servers.append(
            build_server_entry(name, port=port, **fields)
        )
        self.directory.update(
            self._listed_servers, self.loop.time(), after_outage=False
        )
        return scripted

    def count_received(self) -> int:
        """Returns the number of requests that all servers received."""
        return sum(len(s.received) for s in self.servers.values())

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a client connection."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def send(
        self,
        path: str = "/streams/1",
        *,
        body: bytes = b"question",
        key: str = KEY,
        **extra: str,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Sends a request on a new connection."""
        reader, writer = await self.connect()
        fields = {
            "Host": HOST,
            "Attempt-Id": "r1",
            "Deadline-Ms": "10000",
            "Authorization": f"Token {key}",
            "Content-Length": str(len(body)),
        }
        fields.update((k.replace("_", "-"), v) for k, v in extra.items())
        lines = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
        writer.write(f"POST {path} HTTP/1.1\r\n{lines}\r\n".encode() + body)
        return reader, writer

    async def fetch(self, *arguments: str, **fields: object) -> ClientResponse:
        """Sends a request and returns the response."""
        reader, _ = await self.send(*arguments, **fields)
        return await read_response(reader)


async def read_response(reader: asyncio.StreamReader) -> ClientResponse:
    """Reads one response until it is complete or truncated."""
    line, found = await scripted_servers.read_message(reader)
    status = int(line.split(" ")[1])
    if "Content-Length" in found:
        body = await reader.readexactly(int(found["Content-Length"]))
        return ClientResponse(status, found, body, is_complete=True)
    parts = []
    try:
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return ClientResponse(
                    status, found, b"".join(parts), is_complete=True
                )
            parts.append(data[:-2])
    except (asyncio.IncompleteReadError, ConnectionError):
        return ClientResponse(status, found, b"".join(parts), is_complete=False)
