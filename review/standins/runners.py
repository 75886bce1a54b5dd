"""Stand-in for a runner of a plain service."""

import asyncio
import dataclasses
import time
from collections.abc import Awaitable, Callable
from typing import Any

from standins import http


@dataclasses.dataclass(slots=True)
class Arrival:
    """A request that reached a runner.

    Attributes:
        at_s: Time of the monotonic clock.
        request_id: Id of the client's attempt.
        runner: Name of the runner.
        service: Service of the runner.
        version: Version of the runner.
        status: Status of its answer, 0 if there was none.
        has_run: Whether the runner worked on it.
        names_limit: Whether its answer names a limit.
    """

    at_s: float
    request_id: str
    runner: str
    service: str
    version: str
    status: int = 0
    has_run: bool = False
    names_limit: bool = False


Behaviour = Callable[
    [http.Request, Arrival, asyncio.StreamWriter], Awaitable[bool]
]


class Runner:
    """A runner; answers after a short work time unless told otherwise.

    Attributes:
        name: Id of the runner.
        behave: Answers a request instead, if it returns True.
        extra_headers: Headers of all answers.
        work_s: Seconds for which it works on a request.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        arrivals: list[Arrival],
        *,
        version: str = "v1",
        work_s: float = 0.06,
    ) -> None:
        self.name = name
        self.service = service
        self.version = version
        self.behave: Behaviour | None = None
        self.extra_headers: dict[str, str] = {}
        self._zone = zone
        self._arrivals = arrivals
        self.work_s = work_s
        self._born = int(time.time() * 1_000)
        self._sequence = 0
        self._address = ""

    async def start(self) -> None:
        """Starts to listen."""
        _, port = await http.start_server(self._handle)
        self._address = f"127.0.0.1:{port}"

    def describe(self, state: str = "ready") -> dict[str, Any]:
        """Returns the next entry of this runner for the store."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": self._address,
            "zone": self._zone,
            "version": self.version,
            "slots": 64,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "born": self._born,
        }

    async def _handle(
        self, request: http.Request, writer: asyncio.StreamWriter
    ) -> bool:
        request_id = request.headers.get("attempt-id", "")
        if request.headers.get("expect-runner", self.name) != self.name:
            self._answer(writer, request_id, 421, b"", {})
            return True
        arrival = Arrival(
            time.monotonic(),
            request_id,
            self.name,
            self.service,
            self.version,
        )
        self._arrivals.append(arrival)
        if self.behave is not None and await self.behave(
            request, arrival, writer
        ):
            return True
        arrival.has_run = True
        await asyncio.sleep(self.work_s)
        body = f"answer to {request_id}".encode()
        self.answer(writer, arrival, 200, body)
        return True

    def answer(
        self,
        writer: asyncio.StreamWriter,
        arrival: Arrival,
        status: int,
        body: bytes = b"",
        **headers: str,
    ) -> None:
        """Answers a request; underscores in header names are hyphens."""
        arrival.status = status
        arrival.names_limit = "Server-Limit" in self.extra_headers
        named = {name.replace("_", "-"): headers[name] for name in headers}
        self._answer(writer, arrival.request_id, status, body, named)

    def _answer(
        self,
        writer: asyncio.StreamWriter,
        request_id: str,
        status: int,
        body: bytes,
        headers: dict[str, str],
    ) -> None:
        common = {
            "Attempt-Id": request_id,
            "Runner-Id": self.name,
            "Content-Type": "text/plain",
        }
        if "Not-Executed" not in headers and status != 421:
            common["Runner-Seal"] = f"seal.{self.name}.{request_id}"
        common |= self.extra_headers | headers
        writer.write(http.format_response(status, common, body))
