"""Deployment of a soak: store, backend servers and router processes."""

import asyncio
import json
import math
import os
import pathlib
import random
import signal
import socket
import sys
from typing import Any

from harness import proxy
from tests.builders import forwarding, scripted_servers, store
from tests.soak import request_log

ACCOUNT = "acme"
# The nodes are in the first one.
DATA_CENTRES = ("north", "south")
EVENTS = 8
GRACE_S = 8.0
_ROOT = pathlib.Path(__file__).resolve().parents[2]
_LOCAL = "127.0.0.1"
# The router serves its metrics on a fixed port, so each node of each soak has a
# separate address in the loopback range.
_OCTET_VALUES = 250
_EVENT_GAP_S = 0.03
_PLAIN_SERVICE_TIME_S = 0.02
# Fractions of the requests that a server rejects, fails and resets.
_REJECTION_SHARE = 0.02
_FAILURE_SHARE = 0.02
_RESET_SHARE = 0.03
_START_TIMEOUT_S = 30.0
# Limit on the requests to a cold server, and the time after which all nodes
# treat it as cold: the age of a list that tells nothing, and a request's way.
_COLD_PER_S = 5.2
_COLD_OVERSHOOT = 1.5
_COLD_SLACK = 5
_COLD_NOTICE_S = 3.0
# SIGHUP terminates the interpreter until the first line of the program runs.
_INTERPRETER_START_S = 0.5
_STOP_MARGIN_S = 10.0


def _now_s() -> float:
    return asyncio.get_running_loop().time()


class SoakServer:
    """A backend server behind a proxy; logs the requests that it runs.

    Attributes:
        leaves: Whether it says that it leaves.
        paused_until_s: Loop time until which it rejects requests and says so.
        cold_s: Loop times from and until which it is cold and says so.
    """

    def __init__(
        self,
        name: str,
        pool: str,
        data_centre: str,
        log: request_log.RequestLog,
        source: random.Random,
    ) -> None:
        self.name = name
        self.pool = pool
        self.data_centre = data_centre
        self._request_log = log
        self._random = source
        self._server = scripted_servers.ScriptedServer(name, self._run)
        self.proxy: proxy.FaultProxy | None = None
        self.leaves = False
        self.paused_until_s = 0.0
        self.cold_s = (0.0, 0.0)
        self._cold_arrivals: list[float] = []

    async def start(self) -> None:
        """Starts the server and its proxy."""
        port = await self._server.start()
        self.proxy = proxy.FaultProxy(_LOCAL, port)
        await self.proxy.start()

    async def stop(self) -> None:
        """Stops serving; open connections are reset."""
        assert self.proxy is not None
        await self.proxy.stop()
        await self._server.stop()

    def describe(self, state: str = "ready") -> dict[str, Any]:
        """Returns the entry of the server in the store."""
        assert self.proxy is not None
        return store.build_server_spec(
            service=self.pool,
            address=self.proxy.address,
            zone=self.data_centre,
            state=state,
            coldRemainingMs=max(0.0, self.cold_s[1] - _now_s()) * 1_000,
        )

    async def _run(
        self,
        request: scripted_servers.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        if request.headers.get("Expect-Runner") != self.name:
            scripted_servers.write_response(
                request, writer, b"", status="421 Misdirected Request"
            )
            return
        draw = self._random.random()
        self._check_statements(request)
        self._check_cold()
        if self._reject_in_pause(request, writer):
            return
        if draw < _REJECTION_SHARE:
            scripted_servers.write_response(
                request, writer, b"", status="503 Full", Not_Executed="1"
            )
            return
        request_id = request.headers["Attempt-Id"]
        self._check_headers(request)
        self._request_log.record_run(request_id, self.name)
        if draw < _REJECTION_SHARE + _FAILURE_SHARE:
            scripted_servers.write_response(
                request, writer, b"bad", status="500 Bad", **self._say(request)
            )
        elif self.pool == "engines":
            resets = draw > 1.0 - _RESET_SHARE
            await self._stream(request, writer, request_id, resets=resets)
        else:
            await asyncio.sleep(_PLAIN_SERVICE_TIME_S)
            if draw > 1.0 - _RESET_SHARE:
                scripted_servers.reset(writer)
                return
            scripted_servers.write_response(
                request, writer, request_id.encode(), **self._say(request)
            )
        await writer.drain()

    def _find_vm(self, request: scripted_servers.ReceivedRequest) -> str:
        record = self._request_log.records.get(request.headers["Attempt-Id"])
        return record.vm if record else ""

    def _check_statements(
        self, request: scripted_servers.ReceivedRequest
    ) -> None:
        self._request_log.evacuations.check_arrival(
            self.data_centre, self._find_vm(request), self.name, _now_s()
        )
        self._request_log.statements.check_arrival(
            self.name, self._find_vm(request), _now_s()
        )

    def _check_cold(self) -> None:
        """Checks the number of requests in the second before now."""
        now_s = _now_s()
        begin_s, end_s = self.cold_s
        is_cold = begin_s + _COLD_NOTICE_S <= now_s <= end_s
        # A link that was cut delivers the requests of seconds at once.
        if not is_cold or self._request_log.statements.is_disturbed(self.name):
            self._cold_arrivals.clear()
            return
        self._cold_arrivals.append(now_s)
        while self._cold_arrivals[0] <= now_s - 1.0:
            del self._cold_arrivals[0]
        count = len(self._cold_arrivals)
        if count > _COLD_PER_S * _COLD_OVERSHOOT + _COLD_SLACK:
            self._request_log.report_violation(
                f"{self.name} got {count} requests in a second while cold"
            )

    def _reject_in_pause(
        self,
        request: scripted_servers.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Rejects a request during a pause; returns whether it did."""
        now_s = _now_s()
        if now_s >= self.paused_until_s:
            return False
        self._request_log.statements.record(
            self.name, self._find_vm(request), now_s, self.paused_until_s
        )
        remaining_s = self.paused_until_s - now_s
        scripted_servers.write_response(
            request,
            writer,
            b"",
            status="503 Paused",
            Not_Executed="1",
            Retry_After=f"{remaining_s:.3f}",
        )
        return True

    def _say(self, request: scripted_servers.ReceivedRequest) -> dict[str, str]:
        """Returns the headers in which the server says that it leaves."""
        if not self.leaves:
            return {}
        self._request_log.statements.record(
            self.name, self._find_vm(request), _now_s(), math.inf
        )
        return {"Server_Leaving": "1"}

    def _check_headers(self, request: scripted_servers.ReceivedRequest) -> None:
        if request.headers.get("Tenant") != ACCOUNT:
            self._request_log.report_violation(
                f"{self.name} received another client account"
            )
        if "Authorization" in request.headers:
            self._request_log.report_violation(
                f"{self.name} received an API key"
            )

    async def _stream(
        self,
        request: scripted_servers.ReceivedRequest,
        writer: asyncio.StreamWriter,
        request_id: str,
        *,
        resets: bool,
    ) -> None:
        scripted_servers.write_stream_start(
            request, writer, **self._say(request)
        )
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: {request_id}\n\n"
            scripted_servers.write_chunk(writer, event.encode())
            await writer.drain()
            await asyncio.sleep(_EVENT_GAP_S)
            if resets and number > first:
                scripted_servers.reset(writer)
                return
        scripted_servers.write_chunk(writer, b"")


class RouterProcess:
    """A router node as a separate process, with a proxy to the store."""

    def __init__(
        self,
        number: int,
        folder: pathlib.Path,
        store_port: int,
        **settings: object,
    ) -> None:
        self.vm = f"node-{number}"
        self._extra_settings = settings
        self.host = _build_host(number)
        self.front_port = _find_port(self.host)
        self.ready_port = _find_port(self.host)
        self.store_proxy = proxy.FaultProxy(_LOCAL, store_port)
        self.is_expected_running = False
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None
        self._started_s = 0.0

    @property
    def pid(self) -> int:
        """Id of the process, which was started."""
        assert self._process is not None
        return self._process.pid

    @property
    def log_path(self) -> pathlib.Path:
        """File with the log of all processes of this node."""
        return self._folder / f"{self.vm}.log"

    async def start(self) -> None:
        """Starts the process without waiting until it is ready."""
        settings_path = self._folder / f"{self.vm}.json"
        settings_path.write_text(json.dumps(self._describe()))
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(_ROOT / "deploy" / "router.py"),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=os.environ | {"DRAGONFLYDYKE_CONFIG": str(settings_path)},
                # See `harness.processes`.
                process_group=0,
            )
        self.is_expected_running = True
        self._started_s = asyncio.get_running_loop().time()

    def reload(self) -> None:
        """Sends the reload signal unless the interpreter is still starting."""
        now_s = asyncio.get_running_loop().time()
        if now_s - self._started_s > _INTERPRETER_START_S:
            self.send_signal(signal.SIGHUP)

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it is running."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def kill(self) -> None:
        """Kills the process and waits until it has exited."""
        self.is_expected_running = False
        self.send_signal(signal.SIGKILL)
        assert self._process is not None
        await self._process.wait()

    async def stop(self) -> int:
        """Stops the process gracefully and returns its exit code.

        Raises:
            TimeoutError: If it does not exit within the grace time.
        """
        self.is_expected_running = False
        self.send_signal(signal.SIGTERM)
        assert self._process is not None
        async with asyncio.timeout(GRACE_S + _STOP_MARGIN_S):
            return await self._process.wait()

    @property
    def has_exited_unexpectedly(self) -> bool:
        """Whether the process exited without being stopped or killed."""
        process = self._process
        return (
            self.is_expected_running
            and process is not None
            and process.returncode is not None
        )

    async def wait_ready(self) -> None:
        """Waits until the node reports that it is ready.

        Raises:
            TimeoutError: If the node is not ready within the start timeout.
        """
        async with asyncio.timeout(_START_TIMEOUT_S):
            while not await self._is_ready():
                await asyncio.sleep(0.05)

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self.ready_port
            )
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b" 200 " in line

    def _describe(self) -> dict[str, Any]:
        return {
            "nodeName": self.vm,
            "zone": DATA_CENTRES[0],
            "ip": self.host,
            "listen": {
                "front": f"{self.host}:{self.front_port}",
                "ready": f"{self.host}:{self.ready_port}",
            },
            "platform": {"address": self.store_proxy.address},
            "bounds": {
                "graceS": GRACE_S,
                "coldOvershoot": _COLD_OVERSHOOT,
                "coldSlack": _COLD_SLACK,
                "evacuationMs": int(request_log.EVACUATION_S * 1_000),
            },
            **self._extra_settings,
        }


class SoakDeployment:
    """Store, backend servers and router processes of one soak.

    Attributes:
        request_log: Log of the requests of the soak.
        store_stub: Stub of the store.
        servers: Backend servers by name.
        draining: Backend servers that leave, by name.
        nodes: Router processes.
        version: Newest version of the configuration.
        cold_per_s: Requests a second that a cold plain server accepts, 0 for
            no limit.
    """

    def __init__(
        self, folder: pathlib.Path, nodes: int, source: random.Random
    ) -> None:
        self.request_log = request_log.RequestLog()
        self.store_stub = store.StoreStub()
        self.servers: dict[str, SoakServer] = {}
        self.draining: dict[str, SoakServer] = {}
        self.nodes: list[RouterProcess] = []
        self.version = 0
        self._folder = folder
        self._node_count = nodes
        self.cold_per_s = _COLD_PER_S
        self._random = source
        self._started_servers = 0

    async def start(self) -> None:
        """Starts all components and waits until the nodes are ready."""
        self._store, port = store.start_store(self.store_stub)
        await self.put_configuration()
        for pool in ("engines", "engines", "engines", "plain", "plain"):
            await self.add_server(pool)
        for number in range(self._node_count):
            node = RouterProcess(number, self._folder, port)
            await node.store_proxy.start()
            self.nodes.append(node)
            await node.start()
        for node in self.nodes:
            await node.wait_ready()

    async def stop(self) -> None:
        """Stops all components of the soak."""
        for node in self.nodes:
            await node.kill()
            await node.store_proxy.stop()
        for server in self.servers.values():
            await server.stop()
        self._store.stop()
        await self._store.close_all_connections()

    async def add_server(self, pool: str) -> None:
        """Starts a backend server and adds it to the store."""
        self._started_servers += 1
        name = f"{pool}-{self._started_servers}"
        places = [
            server.data_centre
            for server in self.servers.values()
            if server.pool == pool
        ]
        data_centre = min(DATA_CENTRES, key=places.count)
        server = SoakServer(
            name, pool, data_centre, self.request_log, self._random
        )
        await server.start()
        self.servers[name] = server
        await self.store_stub.put("servers", name, server.describe())

    async def evacuate(self, data_centre: str) -> None:
        """Evacuates a data centre."""
        await self.store_stub.put("evacuations", data_centre, {})
        self.request_log.evacuations.begun_s[data_centre] = _now_s()

    async def end_evacuation(self, data_centre: str) -> None:
        """Withdraws the evacuation of a data centre."""
        del self.request_log.evacuations.begun_s[data_centre]
        await self._remove_evacuation(data_centre)

    async def _remove_evacuation(self, data_centre: str) -> None:
        if data_centre in self.store_stub.objects.get("evacuations", {}):
            await self.store_stub.remove("evacuations", data_centre)

    async def announce_draining(self, server: SoakServer) -> None:
        """Writes that a server leaves."""
        self.draining[server.name] = server
        await self.store_stub.put(
            "servers", server.name, server.describe("draining")
        )

    async def remove_entry(self, name: str) -> None:
        """Removes the entry of a server from the store, if it has one."""
        self.draining.pop(name, None)
        if name in self.store_stub.objects["servers"]:
            await self.store_stub.remove("servers", name)

    async def restore_store(self, state: store.StoreCopy) -> None:
        """Restores the store from a copy.

        The operator and the servers write again what they had written; entries
        of servers that are gone expire.
        """
        self.store_stub.restore(state)
        for name in self.store_stub.objects["servers"].keys() - (
            self.servers.keys() | self.draining.keys()
        ):
            await self.remove_entry(name)
        for name, server in list(self.servers.items()):
            await self.store_stub.put("servers", name, server.describe())
        for server in list(self.draining.values()):
            await self.announce_draining(server)
        for data_centre in DATA_CENTRES:
            if data_centre in self.request_log.evacuations.begun_s:
                await self.store_stub.put("evacuations", data_centre, {})
            else:
                await self._remove_evacuation(data_centre)
        await self._write_configuration()

    async def put_configuration(self) -> None:
        """Writes the next version, which has a route named after it."""
        self.version += 1
        await self._write_configuration()

    async def _write_configuration(self) -> None:
        await self.store_stub.put("config", "main", self._build_configuration())

    def _build_configuration(self) -> dict[str, Any]:
        version_route = f"v{self.version}"
        return store.build_policy_spec(
            version=self.version,
            routes=[
                _build_route("streams", "streaming", "engines", 3),
                _build_route("safe", "idempotent", "plain", 2),
                _build_route("unsafe", "non_idempotent", "plain", 1),
                _build_route(version_route, "idempotent", "plain", 2),
            ],
            services=[
                {"name": "engines", "engine": {"slots": 64}},
                {"name": "plain", "coldS": 3, "coldPerS": self.cold_per_s},
            ],
            tenants=[{"name": ACCOUNT, "apiKeys": [forwarding.KEY]}],
        )


def _build_route(
    name: str, kind: str, pool: str, attempts: int
) -> dict[str, Any]:
    return {
        "name": name,
        "host": forwarding.HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 4_000,
        "targetLatencyMs": 1_000,
        "priority": 0,
        "service": pool,
        "maxAttempts": attempts,
        "streamResume": kind == "streaming",
        "gapAimMs": 500,
    }


def _build_host(number: int) -> str:
    high, low = divmod(os.getpid(), _OCTET_VALUES)
    return f"127.{1 + high % _OCTET_VALUES}.{1 + low}.{1 + number}"


def _find_port(host: str) -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]
