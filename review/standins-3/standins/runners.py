"""Stand-ins for runners, which crash and come back as the pages say."""

import asyncio
import itertools
import time
from collections.abc import Awaitable, Callable
from typing import Any

from standins import record, store, wire

HEARTBEAT_S = 1.2
# The entry of a silent runner is removed after three intervals.
_EXPIRY_S = 3 * HEARTBEAT_S

_NUMBERS = itertools.count(1)

Handler = Callable[["Runner", wire.Message, asyncio.StreamWriter], Awaitable]


class Runner:
    """One incarnation of a runner.

    Attributes:
        name: Its id, new at each start.
        address: `host:port`.
        zone: Zone.
        version: Version of its software.
        is_up: Whether it accepts connections.
    """

    def __init__(
        self,
        platform: store.Store,
        log: record.Record,
        service: str,
        zone: str,
        handler: Handler,
        *,
        version: str = "v1",
        slots: int = 6,
        is_engine: bool = False,
    ) -> None:
        self._store = platform
        self._log = log
        self._service = service
        self._handler = handler
        self._slots = slots
        self._is_engine = is_engine
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._host = "127.0.0.1"
        self._port = 0
        self.name = ""
        self.zone = zone
        self.version = version
        self.is_up = False
        self.crashes = 0

    @property
    def address(self) -> str:
        """Address at which it accepts connections."""
        return f"{self._host}:{self._port}"

    @property
    def in_flight(self) -> int:
        """Number of connections."""
        return len(self._writers)

    async def start(self) -> None:
        """Starts a new incarnation at the address of the last one."""
        self._server = await asyncio.start_server(
            self._serve, self._host, self._port
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self.name = f"i-{next(_NUMBERS):08x}"
        self.is_up = True
        self.register("ready")

    def register(self, state: str) -> None:
        """Writes the entry of this incarnation."""
        spec: dict[str, Any] = {
            "service": self._service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self._slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": int(time.time() * 1_000),
        }
        if self._is_engine:
            spec["stage"] = "both"
            spec["models"] = [{"name": "m0", "version": 1, "adapters": []}]
        self._store.put("servers", self.name, spec=spec)

    def crash(self, back_s: float) -> None:
        """Ends the process, as a kill does; it is back after some seconds."""
        if not self.is_up:
            return
        self.crashes += 1
        self._log.write("crash", runner=self.name, cut=self.in_flight)
        self.end()
        self._spawn(self._expire(self.name))
        self._spawn(self._return(back_s))

    def end(self) -> None:
        """Stops to accept connections and resets those that are open."""
        self.is_up = False
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            wire.reset(writer)

    async def _expire(self, name: str) -> None:
        await asyncio.sleep(_EXPIRY_S)
        self._store.remove("servers", name)

    async def _return(self, back_s: float) -> None:
        await asyncio.sleep(back_s)
        await self.start()

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            request = await wire.read_head(reader)
            if request is None:
                return
            await wire.read_body(reader, request, is_response=False)
            if request.is_complete:
                await self._respond(reader, request, writer)
        except (OSError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(
        self,
        reader: asyncio.StreamReader,
        request: wire.Message,
        writer: asyncio.StreamWriter,
    ) -> None:
        if request.target.startswith("/api/report"):
            body = (
                b'{"stage":"both","models":[{"name":"m0","version":1,'
                b'"adapters":[]}],"busy":false,"sequence":1,"waiting":0,'
                b'"running":0,"kvUsed":0,"kvTotal":500000,"handles":0}'
            )
            writer.write(wire.format_response(200, {}, body))
            return
        expected = request.headers.get("expect-runner", self.name)
        if expected != self.name:
            headers = {"Runner-Id": self.name}
            writer.write(wire.format_response(421, headers))
            return
        work = asyncio.ensure_future(self._handler(self, request, writer))
        gone = asyncio.ensure_future(reader.read(1))
        # A runner drops a request when its connection closes.
        await asyncio.wait((work, gone), return_when=asyncio.FIRST_COMPLETED)
        for task in (work, gone):
            task.cancel()
        await asyncio.gather(work, gone, return_exceptions=True)
        await writer.drain()


def sign(request: wire.Message) -> dict[str, str]:
    """Returns the headers of an answer to a request that has run."""
    return {
        "Attempt-Id": request.headers.get("attempt-id", ""),
        "Runner-Seal": "3e1b.07.5a2",
    }
