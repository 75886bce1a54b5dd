"""Datagrams by which nodes ask each other for the state of the store.

An answer is useful only if its age is known. The age is the time from the read
of the store to the answer, by a clock of the answering node that goes on while
that is suspended, plus at most the time that the exchange took. So no answer of
a node that was frozen or cut off looks newer than it is.
"""

import asyncio
import dataclasses
import itertools
import json
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from dragonflydyke import logs, settings

_LOGGER = logs.get_logger("peers")

_MAX_REPORTED_ERRORS = 20
# Answers in preparation. Peers whose questions are dropped ask others; more
# than the nodes of a deployment only come from elsewhere.
_MAX_ANSWERS = 1_000


@dataclasses.dataclass(slots=True, frozen=True)
class StoreState:
    """What the store had at a time.

    Attributes:
        read_s: Uptime at which the store had it, or a later state.
        version: Version of the store.
        kind_versions: Version at or after the newest change of each kind.
    """

    read_s: float
    version: int
    kind_versions: Mapping[str, int]


@dataclasses.dataclass(slots=True, frozen=True)
class _StateAnswer:
    """Answer of a peer.

    Attributes:
        age_s: Seconds since the read of the store, at the time of the answer.
        version: Version of the store.
        kind_versions: See `StoreState`.
    """

    age_s: float
    version: int
    kind_versions: Mapping[str, int]


StateProvider = Callable[[], Awaitable[StoreState | None]]


def find_uptime_s() -> float:
    """Returns a steady time in seconds that includes suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PeerLink(asyncio.DatagramProtocol):
    """Asks peers for the state of the store, and answers them."""

    __slots__ = (
        "_errors",
        "_find_time",
        "_numbers",
        "_pending",
        "_provide",
        "_tasks",
        "_transport",
    )

    def __init__(
        self,
        provide: StateProvider,
        find_time: Callable[[], float] = find_uptime_s,
    ) -> None:
        """Creates a link that is not open.

        Args:
            provide: Returns the state that this node knows, None if that is too
                old.
            find_time: Returns the uptime in seconds.
        """
        self._provide = provide
        self._find_time = find_time
        self._transport: asyncio.DatagramTransport | None = None
        self._numbers = itertools.count(1)
        self._pending: dict[int, asyncio.Future[_StateAnswer | None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._errors = 0

    async def open(self, address: settings.Address) -> None:
        """Opens the link; the node works without it if that fails."""
        loop = asyncio.get_running_loop()
        try:
            await loop.create_datagram_endpoint(
                lambda: self, local_addr=(address.host, address.port)
            )
        except OSError as error:
            _LOGGER.error(
                "peers cannot be asked", address=str(address), error=str(error)
            )

    def close(self) -> None:
        """Closes the link."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    async def ask(
        self, address: settings.Address, timeout_s: float
    ) -> StoreState | None:
        """Returns the state of the store that a peer knows.

        Args:
            address: Address of the peer.
            timeout_s: Seconds to wait for the answer.

        Returns:
            The state, with the oldest time at which the store can have had it,
            or None if the peer does not answer or knows no recent one.
        """
        if self._transport is None:
            return None
        number = next(self._numbers)
        pending = asyncio.get_running_loop().create_future()
        self._pending[number] = pending
        asked_s = self._find_time()
        self._send({"query": number}, address)
        try:
            async with asyncio.timeout(timeout_s):
                answer = await pending
        except TimeoutError:
            return None
        finally:
            del self._pending[number]
        if answer is None:
            return None
        # The answer was sent after the question.
        return StoreState(
            asked_s - answer.age_s, answer.version, answer.kind_versions
        )

    def connection_made(self, transport: Any) -> None:
        """Stores the transport."""
        self._transport = transport

    def datagram_received(
        self, data: bytes, addr: tuple[str | Any, int]
    ) -> None:
        """Handles a question or an answer; odd datagrams are ignored."""
        try:
            message = json.loads(data)
            if "query" in message:
                self._start_answer(int(message["query"]), addr)
            else:
                self._accept_answer(message)
        except (
            ValueError,
            TypeError,
            KeyError,
            OverflowError,
            RecursionError,
        ) as error:
            self._report_error("malformed datagram", error)

    def error_received(self, exc: Exception) -> None:
        """Logs that a datagram was not delivered."""
        self._report_error("datagram not delivered", exc)

    def _report_error(self, message: str, error: Exception) -> None:
        self._errors += 1
        if self._errors <= _MAX_REPORTED_ERRORS:
            _LOGGER.info(message, error=repr(error))

    def _accept_answer(self, message: dict[str, Any]) -> None:
        pending = self._pending.get(message["answer"])
        if pending is None or pending.done():
            return
        if message["version"] is None:
            pending.set_result(None)
            return
        kinds = message["kinds"]
        answer = _StateAnswer(
            float(message["age_s"]),
            int(message["version"]),
            {kind: int(kinds[kind]) for kind in kinds},
        )
        # A negative age would make the state look newer than the question.
        pending.set_result(answer if answer.age_s >= 0 else None)

    def _start_answer(
        self, number: int, address: tuple[str | Any, int]
    ) -> None:
        if len(self._tasks) >= _MAX_ANSWERS:
            return
        task = asyncio.create_task(self._answer(number, address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(
        self, number: int, address: tuple[str | Any, int]
    ) -> None:
        state = await self._provide()
        message: dict[str, Any] = {"answer": number, "version": None}
        if state is not None:
            message |= {
                "age_s": round(self._find_time() - state.read_s, 4),
                "version": state.version,
                "kinds": dict(state.kind_versions),
            }
        self._send(message, settings.Address(*address))

    def _send(self, message: Any, address: settings.Address) -> None:
        if self._transport is not None:
            data = json.dumps(message, separators=(",", ":")).encode()
            self._transport.sendto(data, (address.host, address.port))
