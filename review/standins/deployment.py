"""Starts the router processes of a case and sends the clients' requests."""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import secrets
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Coroutine
from typing import Any

from standins import http, runners
from standins import store as stores

ROOT = pathlib.Path(__file__).resolve().parents[2]
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD = 0
BROKEN = 1
NOT_RUN = 2
HOST = "ficu95.example"
# Bounds of the small sites.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "skewMaxMs": 5000,
    "strictRevoke": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.9,
    "budgetWindowS": 10,
    "budgetSlack": 58,
    "exposureShare": 0.15,
    "exposureSlack": 30,
    "rollbackMs": 5000,
    "recoveryS": 12,
    "passMs": 120,
    "reuseWindowS": 9.4,
    "sessionS": 5,
}
_METRICS_PORT = 7340
# Memory of a machine of the site pigyn-router.
_MEMORY_MB = 150
_START_TIMEOUT_S = 30.0
_POLL_S = 0.05
_CLIENT_MARGIN_S = 1.0


@dataclasses.dataclass(slots=True)
class Sent:
    """A request of a client.

    Attributes:
        request_id: Id of the client's attempt.
        node: Name of the node that it was sent to.
        path: Its path.
        key: API key that it carries.
        session: Its session, empty without one.
        at_s: Time at which it was sent, of the monotonic clock.
        is_kept: Whether its connection had carried a request before.
        status: Status of the answer, 0 if there was none.
        is_closed: Whether the connection ended without an answer.
        answered_s: Time of the answer or of the end of the connection.
    """

    request_id: str
    node: str
    path: str
    key: str
    session: str
    at_s: float
    is_kept: bool = False
    status: int = 0
    is_closed: bool = False
    answered_s: float = 0.0


class Node:
    """A router process on a loopback address of its own."""

    def __init__(self, number: int, store_address: str, folder: str) -> None:
        self.name = f"edge-{number}"
        self.host = _find_host()
        self.front = _find_port(self.host)
        self.ready = _find_port(self.host)
        self.process: asyncio.subprocess.Process | None = None
        self.memory_mb = _MEMORY_MB
        self._folder = pathlib.Path(folder)
        self._store_address = store_address

    async def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        settings = self._folder / f"{self.name}.json"
        settings.write_text(json.dumps(self._describe()))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["router"]["run"].split(" ")
        kept = ("PATH", "HOME", "JAVA_HOME", "LANG")
        environment = {
            name: os.environ[name] for name in kept if name in os.environ
        }
        environment["DRAGONFLYDYKE_CONFIG"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self) -> None:
        """Waits until the node says that it is ready."""
        for _ in range(round(_START_TIMEOUT_S / _POLL_S)):
            if await self._is_ready():
                return
            await asyncio.sleep(_POLL_S)
        raise TimeoutError(f"{self.name} is not ready")

    async def _is_ready(self) -> bool:
        request = http.Request("GET", "/api/readyz", {"Host": "ready"}, b"")
        try:
            found = await http.fetch(self.host, self.ready, request, 1.0)
        except (OSError, TimeoutError):
            return False
        return found is not None and found.status == 200

    def read_memory_mb(self) -> float:
        """Returns the resident memory of the process, 0 if it has ended."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status")
            lines = status.read_text().splitlines()
        except OSError:
            return 0.0
        sizes = [int(line.split()[1]) for line in lines if "VmRSS" in line]
        return sizes[0] / 1_024 if sizes else 0.0

    async def end(self) -> None:
        """Kills the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    def _describe(self) -> dict[str, Any]:
        return {
            "nodeName": self.name,
            "role": "router",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": self.host,
            "zone": "caerdydd",
            "region": "cymru",
            "zones": {"caerdydd": "cymru"},
            "listen": {
                "front": f"{self.host}:{self.front}",
                "ready": f"{self.host}:{self.ready}",
            },
            "internalPorts": [_METRICS_PORT, _METRICS_PORT + 15],
            "seeds": [],
            "bootstrap": True,
            "limits": {"memoryMb": _MEMORY_MB, "maxFds": 4100},
            "dataDir": None,
            "heartbeatMs": 1200,
            "bounds": BOUNDS,
            "platform": {
                "address": self._store_address,
                "form": "objects",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
            },
        }


class Deployment:
    """Store, runners, nodes and clients of a case; writes its record."""

    def __init__(self, folder: str) -> None:
        self.store = stores.Store()
        self.arrivals: list[runners.Arrival] = []
        self.sent: list[Sent] = []
        self.nodes: list[Node] = []
        self._folder = folder
        self._notes: list[tuple[float, str]] = []
        self._started_s = time.monotonic()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._idle: dict[str, list[http.Connection]] = {}

    def note(self, text: str) -> None:
        """Adds a line to the record."""
        self._notes.append((time.monotonic(), text))

    async def add_runner(
        self,
        name: str,
        service: str,
        *,
        version: str = "v1",
        work_s: float = 0.06,
    ) -> runners.Runner:
        """Starts a runner and registers it in the store."""
        runner = runners.Runner(
            name,
            service,
            "caerdydd",
            self.arrivals,
            version=version,
            work_s=work_s,
        )
        await runner.start()
        self.store.put("servers", name, runner.describe())
        self.note(f"runner {name} of {service} {version} registers")
        return runner

    async def start_nodes(self, count: int) -> None:
        """Starts nodes and waits until they are ready."""
        address = await self.store.start()
        self.nodes = [Node(n + 1, address, self._folder) for n in range(count)]
        for node in self.nodes:
            await node.start()
        for node in self.nodes:
            await node.wait_ready()
        self._started_s = time.monotonic()
        self.note(f"{count} nodes are ready")

    async def end(self) -> None:
        """Ends all processes that the case started."""
        for task in self._tasks:
            task.cancel()
        for node in self.nodes:
            await node.end()

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Runs a coroutine beside the case."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def send(
        self,
        node: Node,
        path: str,
        *,
        key: str,
        method: str = "POST",
        session: str = "",
        deadline_ms: int = 1500,
    ) -> Sent:
        """Sends a request as a client does and waits for its answer."""
        request_id = secrets.token_hex(8)
        headers = {
            "Host": HOST,
            "Attempt-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
            "Authorization": f"Token {key}",
        }
        if session:
            headers["Session"] = session
        sent = Sent(request_id, node.name, path, key, session, time.monotonic())
        self.sent.append(sent)
        request = http.Request(method, path, headers, b"")
        idle = self._idle.setdefault(node.name, [])
        connection = idle.pop() if idle else http.Connection()
        sent.is_kept = connection.is_used
        timeout_s = deadline_ms / 1_000 + _CLIENT_MARGIN_S
        try:
            found = await connection.send(
                node.host, node.front, request, timeout_s
            )
            sent.is_closed = found is None
            if found is not None:
                sent.status = found.status
        except TimeoutError:
            connection.close()
        except OSError:
            sent.is_closed = True
        if connection.is_open:
            idle.append(connection)
        sent.answered_s = time.monotonic()
        return sent

    async def load(
        self, rate_per_s: float, duration_s: float, path: str, **options: Any
    ) -> None:
        """Sends requests at a rate to the nodes in turn."""
        started_s = time.monotonic()
        sessions = options.pop("sessions", ())
        number = 0
        while (at_s := number / rate_per_s) < duration_s:
            await asyncio.sleep(max(0.0, started_s + at_s - time.monotonic()))
            node = self.nodes[number % len(self.nodes)]
            if sessions:
                options["session"] = random.choice(sessions)
            self.spawn(self.send(node, path, **options))
            number += 1

    def since_start_s(self, at_s: float) -> float:
        """Returns a time as seconds since the nodes were ready."""
        return at_s - self._started_s

    def write_record(self, path: pathlib.Path) -> None:
        """Writes what was sent, answered and run, in the order of time."""
        lines = list(self._notes)
        for sent in self.sent:
            what = f"{sent.request_id} {sent.path} key {sent.key}"
            if sent.is_kept:
                what += " on a kept connection"
            if sent.session:
                what += f" session {sent.session}"
            lines.append((sent.at_s, f"client sends {what} to {sent.node}"))
            lines.append(
                (
                    sent.answered_s,
                    f"client gets {_describe_answer(sent)} to "
                    f"{sent.request_id}",
                )
            )
        for arrival in self.arrivals:
            does = "runs" if arrival.has_run else "does not run"
            lines.append(
                (
                    arrival.at_s,
                    f"{arrival.request_id} reaches {arrival.runner} of "
                    f"{arrival.service} {arrival.version}, which {does} it "
                    f"and answers {arrival.status or 'nothing'}",
                )
            )
        lines.sort(key=lambda line: line[0])
        path.write_text(
            "".join(
                f"{self.since_start_s(at_s):9.3f} s  {text}\n"
                for at_s, text in lines
            )
        )


def _describe_answer(sent: Sent) -> str:
    if sent.status:
        return str(sent.status)
    return "a closed connection" if sent.is_closed else "nothing"


def build_route(
    name: str, service: str, kind: str, **fields: Any
) -> dict[str, Any]:
    """Returns a route like those of the small sites."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 1500,
        "targetLatencyMs": 400,
        "priority": 2,
        "service": service,
        "maxAttempts": 1 if kind == "non_idempotent" else 3,
        "anonymous": False,
        "sessionAffinity": False,
        "streamResume": False,
    } | fields


def build_configuration(
    version: int, routes: list[dict[str, Any]], keys: list[str]
) -> dict[str, Any]:
    """Returns a configuration with one tenant."""
    services = sorted({route["service"] for route in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthPath": "/healthz",
                "maxConnections": 110,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "hule930", "apiKeys": keys, "priority": 1}],
    }


@contextlib.asynccontextmanager
async def open_deployment() -> AsyncIterator[Deployment]:
    """Yields a deployment in a temporary folder and ends it."""
    with tempfile.TemporaryDirectory() as folder:
        found = Deployment(folder)
        try:
            yield found
        finally:
            await found.end()


def run_case(case: Coroutine[Any, Any, int], limit_s: float = 110.0) -> None:
    """Runs a case and exits with its verdict."""
    try:
        verdict = asyncio.run(_run_limited(case, limit_s))
    except (OSError, TimeoutError, RuntimeError) as error:
        print(f"the case could not run: {error!r}")
        verdict = NOT_RUN
    sys.exit(verdict)


async def _run_limited(case: Coroutine[Any, Any, int], limit_s: float) -> int:
    async with asyncio.timeout(limit_s):
        return await case


def _find_host() -> str:
    """Returns a loopback address whose metrics port is free."""
    for _ in range(100):
        host = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}.1"
        with socket.socket() as probe:
            try:
                probe.bind((host, _METRICS_PORT))
            except OSError:
                continue
            return host
    raise RuntimeError("no loopback address with a free port")


def _find_port(host: str) -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]
