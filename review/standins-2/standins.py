"""Stand-ins for the platform, runners and clients, as the users' pages say."""

import asyncio
import dataclasses
import json
import os
import pathlib
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from typing import Any
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
LOCAL = "127.0.0.1"
HOST = "calls.test"
KEY = "key-of-account-a"
TENANT = "account-a"
SEAL = "seal-of-a-runner"
_PAGE_ITEMS = 500
_PAGE_BYTES = 1_100_000
_HISTORY = 10_000
_METRICS_PORT = 7340
_MEMORY_CHECK_S = 0.05
_RESTART_S = 0.5
_MARGIN_S = 0.2
# Limit on the time that a case may take.
_CASE_S = 110.0
_OCTETS = 250


class Record:
    """Writes what was sent, answered and run to a file, one event a line."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._start_s = time.monotonic()

    @classmethod
    def discard(cls) -> "Record":
        """Returns a record that keeps nothing."""
        return cls(pathlib.Path(os.devnull))

    def add(self, event: str, **fields: object) -> None:
        """Adds a line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        elapsed_s = time.monotonic() - self._start_s
        self._file.write(f"{elapsed_s:9.3f} {event} {text}\n")
        self._file.flush()


@dataclasses.dataclass(slots=True)
class Message:
    """Start line, headers in title case and body of a request or response."""

    line: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.line.split(" ")[1])

    @property
    def request_id(self) -> str:
        """Id of the client attempt."""
        return self.headers.get("Attempt-Id", "")


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Reads start line and headers; raises IncompleteReadError."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    first, *lines = text.rstrip("\r\n").split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    return Message(first, {name.title(): v.strip() for name, v in pairs})


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Reads a body with a length or in chunks."""
    if "chunked" in message.headers.get("Transfer-Encoding", ""):
        while size := int(await reader.readline(), 16):
            message.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
        return
    length = int(message.headers.get("Content-Length", "0"))
    message.body = await reader.readexactly(length)


def write_response(
    writer: asyncio.StreamWriter,
    status: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> None:
    """Writes a complete response with a length."""
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


def write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Writes a chunk of a body."""
    writer.write(b"%x\r\n%b\r\n" % (len(data), data))


def write_event(
    writer: asyncio.StreamWriter, number: int, request_id: str
) -> None:
    """Writes an event of a stream, which names its request."""
    write_chunk(writer, f"id: {number}\ndata: {request_id}\n\n".encode())


def start_stream(
    runner: "Runner", request: Message, writer: asyncio.StreamWriter
) -> None:
    """Writes the head of a stream of events."""
    lines = [
        "HTTP/1.1 200 OK",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
    ]
    seal = runner.seal(request).items()
    lines += [f"{name}: {value}" for name, value in seal]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")


class Store:
    """The platform's metadata store: objects, revisions and watches."""

    def __init__(self) -> None:
        self.kinds: dict[str, dict[str, dict[str, Any]]] = {}
        self.revision = 100
        # Specs that another writer left as bytes, by kind and name.
        self.raw_specs: dict[tuple[str, str], bytes] = {}
        self._events: list[tuple[int, str, bool, dict[str, Any]]] = []
        self._changed = asyncio.Event()
        self.address = ""

    async def start(self) -> None:
        """Starts listening on a free port."""
        server = await asyncio.start_server(self._serve, LOCAL, 0)
        self.address = f"{LOCAL}:{server.sockets[0].getsockname()[1]}"

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Writes an object for the operator or a runner."""
        return self._write(kind, name, {"spec": spec})

    def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        entry = self.kinds[kind].pop(name)
        self.revision += 1
        entry["metadata"]["rev"] = self.revision
        self._notify(kind, True, entry)

    def _write(self, kind: str, name: str, change: dict[str, Any]) -> int:
        objects = self.kinds.setdefault(kind, {})
        old = objects.get(name, {"spec": None, "status": None})
        new = {
            "metadata": {"name": name, "finalizers": [], "deleting": False},
            "spec": old["spec"],
            "status": old["status"],
        } | change
        if name in objects and all(new[k] == old[k] for k in change):
            return self.revision
        self.revision += 1
        created = old.get("metadata", {}).get("createdAt", self.revision)
        new["metadata"] |= {"rev": self.revision, "createdAt": created}
        objects[name] = new
        self._notify(kind, False, new)
        return self.revision

    def _notify(self, kind: str, removed: bool, entry: dict[str, Any]) -> None:
        self._events.append((self.revision, kind, removed, dict(entry)))
        del self._events[:-_HISTORY]
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                message = await read_head(reader)
                await read_body(reader, message)
                method, target, _ = message.line.split(" ")
                status, body = await self._handle(method, target, message.body)
                write_response(
                    writer,
                    f"{status} -",
                    body,
                    {"Content-Type": "application/json"},
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def _handle(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, bytes]:
        url = parse.urlsplit(target)
        query = dict(parse.parse_qsl(url.query))
        parts = [parse.unquote(p) for p in url.path.split("/")[3:]]
        if method == "GET" and "watch" in query:
            return await self._watch(
                parts[0], int(query["watch"]), int(query.get("waitMs", "0"))
            )
        if method == "GET" and len(parts) == 1:
            return 200, self._list(parts[0], query.get("after", ""))
        if method == "GET":
            entry = self.kinds.get(parts[0], {}).get(parts[1])
            return (200, _encode(entry)) if entry else (404, b"{}")
        return self._change(method, parts, json.loads(body) if body else {})

    def _list(self, kind: str, after: str) -> bytes:
        objects = self.kinds.get(kind, {})
        names = sorted(name for name in objects if name > after)
        items: list[bytes] = []
        for name in names[:_PAGE_ITEMS]:
            item = self._write_object(kind, objects[name])
            if items and sum(map(len, items)) + len(item) > _PAGE_BYTES:
                break
            items.append(item)
        more = _encode(len(names) > len(items))
        return b'{"items":[%b],"more":%b,"storeRevision":%d}' % (
            b",".join(items),
            more,
            self.revision,
        )

    async def _watch(
        self, kind: str, since: int, wait_ms: int
    ) -> tuple[int, bytes]:
        if self._events and since < self._events[0][0] - 1:
            return 410, b"{}"
        loop = asyncio.get_running_loop()
        until_s = loop.time() + wait_ms / 1000
        while True:
            found = [
                b'{"removed":%b,"object":%b}'
                % (_encode(removed), self._write_object(kind, entry))
                for revision, of_kind, removed, entry in self._events
                if of_kind == kind and revision > since
            ]
            rest_s = until_s - loop.time()
            if found or rest_s <= 0:
                break
            changed = self._changed
            try:
                async with asyncio.timeout(rest_s):
                    await changed.wait()
            except TimeoutError:
                continue
        return 200, b'{"events":[%b],"storeRevision":%d}' % (
            b",".join(found),
            self.revision,
        )

    def _write_object(self, kind: str, entry: dict[str, Any]) -> bytes:
        """Returns the text of an object; its spec as the writer left it."""
        raw = self.raw_specs.get((kind, entry["metadata"]["name"]))
        if raw is None:
            return _encode(entry)
        mark = "spec of another writer"
        return _encode(entry | {"spec": mark}).replace(_encode(mark), raw)

    def _change(
        self, method: str, parts: list[str], body: dict[str, Any]
    ) -> tuple[int, bytes]:
        kind = parts[0]
        objects = self.kinds.setdefault(kind, {})
        name = parts[1] if len(parts) > 1 else body["metadata"]["name"]
        if method == "POST":
            if name in objects:
                return 409, _encode(objects[name])
            self._write(kind, name, {"spec": body.get("spec")})
            return 201, _encode(objects[name])
        if name not in objects:
            return 404, b"{}"
        revision = body.get("metadata", {}).get("rev")
        if revision not in (None, objects[name]["metadata"]["rev"]):
            return 409, _encode(objects[name])
        if method == "DELETE":
            self.remove(kind, name)
            return 200, b"{}"
        field = "status" if parts[-1] == "status" else "spec"
        self._write(kind, name, {field: body.get(field)})
        return 200, _encode(objects[name])


def _encode(value: Any) -> bytes:
    return json.dumps(value).encode()


Script = Callable[
    ["Runner", Message, asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[None],
]


class Runner:
    """A runner that answers each request by a script.

    Attributes:
        name: Its id in the store.
        arrivals: Heads of the requests in order of arrival.
        runs: Ids of the requests that it began to run.
    """

    def __init__(
        self, name: str, service: str, script: Script, record: Record
    ) -> None:
        self.name = name
        self.service = service
        self.script = script
        self.record = record
        self.arrivals: list[Message] = []
        self.runs: list[str] = []
        self.zone = "north"
        self.version = "v1"
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self, *, limit: int = 65_536) -> None:
        """Starts listening on a free port."""
        self._server = await asyncio.start_server(
            self._serve, LOCAL, 0, limit=limit, backlog=2048
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{LOCAL}:{port}"

    def stop_listening(self) -> None:
        """Refuses further connections."""
        assert self._server is not None
        self._server.close()

    async def listen_again(self) -> None:
        """Accepts connections again at the same address."""
        port = int(self.address.rpartition(":")[2])
        self._server = await asyncio.start_server(
            self._serve, LOCAL, port, backlog=2048
        )

    def describe(self, state: str = "ready") -> dict[str, Any]:
        """Returns the entry that it writes to the store."""
        entry: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": 64,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 4,
            "born": 1_796_000_000_000,
        }
        if self.service == "engines":
            entry |= {
                "stage": "both",
                "models": [{"name": "small", "version": 1, "adapters": []}],
            }
        return entry

    def begin(self, request: Message) -> None:
        """Notes that it begins to run a request."""
        self.runs.append(request.request_id)
        self.record.add("run", runner=self.name, id=request.request_id)

    def seal(self, request: Message) -> dict[str, str]:
        """Returns the headers of an answer."""
        return {"Attempt-Id": request.request_id, "Runner-Seal": SEAL}

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_head(reader)
                if request.line.startswith("GET /api/report"):
                    write_response(writer, "200 OK", _encode(_REPORT))
                    continue
                self.arrivals.append(request)
                self.record.add(
                    "arrival",
                    runner=self.name,
                    id=request.request_id,
                    line=request.line,
                )
                if request.headers.get("Expect-Runner") != self.name:
                    await read_body(reader, request)
                    write_response(writer, "421 Misdirected Request")
                    continue
                await self.script(self, request, reader, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            writer.close()


_REPORT = {
    "stage": "both",
    "models": [{"name": "small", "version": 1, "adapters": []}],
    "busy": False,
    "sequence": 2,
    "waiting": 0,
    "running": 0,
    "kvUsed": 0,
    "kvTotal": 90_000,
    "handles": 0,
    "runs": [],
}


def build_route(
    name: str, kind: str, service: str, **fields: object
) -> dict[str, Any]:
    """Returns a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 12_000,
        "targetLatencyMs": 2_000,
        "priority": 1,
        "service": service,
        "maxAttempts": 3,
        "anonymous": False,
        "sessionAffinity": kind == "streaming",
        "streamResume": kind == "streaming",
        "gapAimMs": 1_200 if kind == "streaming" else 0,
    } | fields


def build_config(
    version: int, routes: list[dict[str, Any]], **fields: object
) -> dict[str, Any]:
    """Returns a configuration like that of a small deployment."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "engines",
                "healthPath": "/healthz",
                "maxConnections": 370,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 64,
                    "kvCapacity": 492_709,
                    "stride": 5,
                    "models": [
                        {"name": "small", "cost": 0.0074},
                        {"name": "large", "cost": 0.11},
                    ],
                },
            },
            {
                "name": "office",
                "healthPath": "/healthz",
                "maxConnections": 110,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    } | fields


BOUNDS = {
    "contactMs": 3_000,
    "drainMs": 2_000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2_000,
    "rollbackSlackMs": 250,
    "retryBudgetRatio": 0.9,
    "budgetWindowS": 10,
    "budgetSlack": 58,
    "exposureShare": 0.15,
    "exposureSlack": 30,
    "rollbackMs": 5_000,
    "recoveryS": 12,
    "passMs": 120,
    "sessionS": 5,
}


class Node:
    """A machine of the system: one process, as the deploy file starts it."""

    def __init__(
        self, number: int, folder: pathlib.Path, store_address: str
    ) -> None:
        high, low = divmod(os.getpid(), _OCTETS)
        self.name = f"edge-north-{number}"
        self.ip = f"127.{1 + high % _OCTETS}.{1 + low}.{number}"
        self.front = (self.ip, _find_port(self.ip))
        self.ready = (self.ip, _find_port(self.ip))
        self.process: asyncio.subprocess.Process | None = None
        self.memory_mb = 150
        self._path = folder / f"{self.name}.json"
        self._log = folder / f"{self.name}.log"
        self._store_address = store_address

    @property
    def pid(self) -> int:
        """Id of the process."""
        assert self.process is not None
        return self.process.pid

    @property
    def log(self) -> str:
        """What the process wrote to its output."""
        return self._log.read_text(errors="replace")

    async def start(self) -> None:
        """Starts the process without waiting until it is ready."""
        self._path.write_text(json.dumps(self._describe()))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["router"]["run"].split()
        names = ("PATH", "HOME", "LANG")
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={n: os.environ[n] for n in names if n in os.environ}
                | {
                    "DRAGONFLYDYKE_CONFIG": str(self._path),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                },
                process_group=0,
            )

    async def is_ready(self) -> bool:
        """Returns whether it says that it is ready."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def wait_ready(self, timeout_s: float = 20.0) -> bool:
        """Waits until it is ready; returns whether it was in time."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def end(self) -> None:
        """Kills the process, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    def read_memory_mb(self) -> float:
        """Returns the private memory of the process, without its files."""
        text = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        found = re.search(r"RssAnon:\s+(\d+) kB", text)
        return int(found.group(1)) * 1024 / 1e6 if found else 0.0

    def _describe(self) -> dict[str, Any]:
        return {
            "nodeName": self.name,
            "role": "router",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": self.ip,
            "zone": "north",
            "region": "land",
            "zones": {"north": "land", "south": "land"},
            "listen": {
                "front": f"{self.ip}:{self.front[1]}",
                "ready": f"{self.ip}:{self.ready[1]}",
            },
            "internalPorts": [_METRICS_PORT, _METRICS_PORT + 15],
            "bootstrap": True,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": self.memory_mb,
                "maxFds": 4_100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1_200,
            "bounds": BOUNDS,
            "platform": {
                "address": self._store_address,
                "form": "objects",
                "writesPerS": 400,
                "readsPerS": 2_000,
                "historyS": 20,
                "valueBytes": 1_048_576,
            },
        }


def _find_port(host: str) -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


@dataclasses.dataclass(slots=True)
class Answer:
    """What a client got: status 0 means that the connection ended first."""

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False


class Client:
    """A client with one connection, which it keeps."""

    def __init__(self, address: tuple[str, int], record: Record) -> None:
        self.address = address
        self.record = record
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Opens the connection."""
        self.reader, self.writer = await asyncio.open_connection(*self.address)

    def close(self) -> None:
        """Closes the connection."""
        if self.writer is not None:
            self.writer.close()

    async def send(
        self,
        request_id: str,
        target: str,
        body: bytes = b"",
        method: str = "POST",
        deadline_ms: int = 12_000,
        **headers: str,
    ) -> None:
        """Sends a request."""
        if self.writer is None:
            await self.connect()
        assert self.writer is not None
        fields = {
            "Host": HOST,
            "Attempt-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
            "Authorization": f"Token {KEY}",
            "Content-Length": str(len(body)),
        } | {name.replace("_", "-"): v for name, v in headers.items()}
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        self.record.add("sent", id=request_id, target=target, bytes=len(body))
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await self.writer.drain()

    async def start_chunked(
        self, request_id: str, target: str, **headers: str
    ) -> None:
        """Sends the head of a request whose body follows in chunks."""
        await self.connect()
        fields = {
            "Host": HOST,
            "Attempt-Id": request_id,
            "Authorization": f"Token {KEY}",
            "Transfer-Encoding": "chunked",
        } | {name.replace("_", "-"): v for name, v in headers.items()}
        lines = [f"POST {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        self.record.add("sent", id=request_id, target=target, body="chunked")
        self.write("\r\n".join(lines).encode() + b"\r\n\r\n")

    def write(self, data: bytes) -> None:
        """Sends bytes of a body; raises OSError if the connection is lost."""
        assert self.writer is not None
        if self.writer.is_closing():
            raise ConnectionResetError
        self.writer.write(data)

    async def receive(self, request_id: str, timeout_s: float = 30.0) -> Answer:
        """Receives the answer to the request."""
        answer = Answer()
        assert self.reader is not None
        try:
            async with asyncio.timeout(timeout_s):
                message = await read_head(self.reader)
                answer.status = message.status
                answer.headers = message.headers
                await read_body(self.reader, message)
                answer.body = message.body
                answer.is_complete = True
        except (OSError, ValueError, TimeoutError, EOFError):
            # The connection ended, maybe in the middle of a chunk.
            pass
        self.record.add(
            "answered",
            id=request_id,
            status=answer.status,
            complete=answer.is_complete,
            seal="Runner-Seal" in answer.headers,
            retry_after=answer.headers.get("Retry-After", ""),
            body=answer.body[:60],
        )
        return answer

    async def call(
        self, request_id: str, target: str, **options: Any
    ) -> Answer:
        """Sends a request and receives its answer."""
        try:
            await self.send(request_id, target, **options)
        except OSError:
            return Answer()
        return await self.receive(request_id)


class Scene:
    """A small deployment, with the record of what happens in it.

    Attributes:
        trouble: Whether the disruption of the case takes place.
    """

    def __init__(self, folder: pathlib.Path, record: Record) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = record
        self.store = Store()
        self.nodes: list[Node] = []
        self._folder = folder

    async def start_runner(
        self, name: str, service: str, script: Script
    ) -> Runner:
        """Starts a runner, which registers itself in the store."""
        runner = Runner(name, service, script, self.record)
        await runner.start()
        self.store.put("servers", name, runner.describe())
        return runner

    async def start_node(self) -> Node:
        """Starts a machine and waits until it is ready."""
        node = Node(len(self.nodes) + 1, self._folder, self.store.address)
        self.nodes.append(node)
        await node.start()
        if not await node.wait_ready():
            raise CannotRunError(f"{node.name} was not ready in time")
        self.record.add("ready", node=node.name)
        return node

    async def settle(self) -> None:
        """Waits until the machines that were started are in touch."""
        await asyncio.sleep(BOUNDS["contactMs"] / 1_000 + _MARGIN_S)

    async def end(self) -> None:
        """Ends all processes."""
        for node in self.nodes:
            await node.end()


class MemoryGuard:
    """The platform, which ends a process that exceeds its memory.

    The process is started again after a short delay.
    """

    def __init__(self, scene: Scene, node: Node) -> None:
        self.ends = 0
        self.peak_mb = 0.0
        self._scene = scene
        self._node = node

    async def watch(self) -> None:
        """Watches the process until cancelled."""
        while True:
            await asyncio.sleep(_MEMORY_CHECK_S)
            memory_mb = self._node.read_memory_mb()
            self.peak_mb = max(self.peak_mb, round(memory_mb, 1))
            if memory_mb <= self._node.memory_mb:
                continue
            self.ends += 1
            self._scene.record.add(
                "over its memory",
                node=self._node.name,
                mb=round(memory_mb, 1),
                ends=self.ends,
            )
            await self._node.end()
            await asyncio.sleep(_RESTART_S)
            await self._node.start()


class CannotRunError(Exception):
    """The case could not run."""


Case = Callable[[Scene], Awaitable[bool]]


async def _play(case: Case, folder: pathlib.Path, record: Record) -> bool:
    scene = Scene(folder, record)
    await scene.store.start()
    try:
        async with asyncio.timeout(_CASE_S):
            return await case(scene)
    finally:
        await scene.end()


def run_case(case: Case, folder: pathlib.Path) -> None:
    """Plays a case and exits: 1 if it broke the rule, 0 if not, 2 for errors.

    Args:
        case: Returns whether the rule was kept.
        folder: Folder of the case, for its record.
    """
    record = Record(folder / "record.txt")
    with tempfile.TemporaryDirectory() as name:
        try:
            is_kept = asyncio.run(_play(case, pathlib.Path(name), record))
        except Exception:
            traceback.print_exc()
            record.add("the case could not run")
            sys.exit(2)
    verdict = "kept" if is_kept else "broken"
    record.add(f"rule {verdict}")
    print(f"rule {verdict}")
    sys.exit(0 if is_kept else 1)
