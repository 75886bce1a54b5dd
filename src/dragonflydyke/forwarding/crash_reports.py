"""Confirms crashes of servers and shares the reports through the store."""

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

from dragonflydyke import errors, logs, metrics
from dragonflydyke.forwarding import directory, quarantine

# A VM whose process ended refuses a connection within a round trip.
_CONFIRMATION_TIMEOUT_S = 0.2
_POLL_INTERVAL_S = 1.0
_MIN_WRITE_RETRY_S = 0.2
_MAX_WRITE_RETRY_S = 0.5
# Spreads the removal of expired reports, which one node does for all.
_MAX_REMOVAL_DELAY_S = 30.0

_LOGGER = logs.get_logger("crashes")


class CrashStore(Protocol):
    """Stores the crash reports of all nodes."""

    async def write_crash(self, report: quarantine.CrashReport) -> int:
        """Stores a report unless the store has it already.

        Returns:
            Era in which the store has the report.

        Raises:
            DragonflydykeError: If the write fails, or may not have happened.
        """

    async def remove_crash(self, report: quarantine.CrashReport) -> None:
        """Removes a report; does nothing if the store does not have it.

        Raises:
            DragonflydykeError: If the write fails, or may not have happened.
        """


class CrashReporter:
    """Reports requests that crash servers, to this node and to all others."""

    __slots__ = (
        "_counters",
        "_is_store_available",
        "_quarantine",
        "_random",
        "_removal_delay_s",
        "_store",
        "_wake",
    )

    def __init__(
        self,
        requests: quarantine.RequestQuarantine,
        store: CrashStore,
        counters: metrics.Counters,
        source: random.Random,
        is_store_available: Callable[[], bool] = lambda: True,
    ) -> None:
        """Creates a reporter without reports.

        Args:
            requests: Quarantine that the reports lead to.
            store: Stores the reports.
            counters: Receives `crash.<outcome>`.
            source: Random source that spreads the writes of the nodes.
            is_store_available: Returns whether the last read of the store
                succeeded.
        """
        self._quarantine = requests
        self._store = store
        self._counters = counters
        self._random = source
        self._is_store_available = is_store_available
        self._removal_delay_s = source.uniform(0.0, _MAX_REMOVAL_DELAY_S)
        self._wake = asyncio.Event()

    async def report(
        self,
        server: directory.ServerEntry,
        request_id: str,
        content: quarantine.RequestContent,
    ) -> None:
        """Reports a request if the server that lost its response has ended.

        Args:
            server: The server.
            request_id: Id of a request that may have ended it.
            content: What the request has in common with others.
        """
        if not await _has_ended(server):
            return
        report = quarantine.CrashReport(
            server.pool,
            request_id,
            server.name,
            server.started_ms,
            content,
        )
        self._counters.increment("crash.reported")
        _LOGGER.warning(
            "server crashed under a request",
            request=request_id,
            pool=server.pool,
            server=server.name,
            server_started_ms=server.started_ms,
            parts=sorted(content.parts),
            fingerprint=content.fingerprint,
        )
        self._quarantine.add(report, asyncio.get_running_loop().time())
        self._wake.set()

    async def run(self) -> None:
        """Writes and removes reports until cancelled."""
        while True:
            await self._wait()
            if not self._is_store_available():
                continue
            try:
                await self._write_unstored()
                await self._remove_expired()
            except errors.DragonflydykeError as error:
                self._counters.increment(f"crash.{error.code}")
                _LOGGER.info("crash report not written", code=error.code)

    async def _wait(self) -> None:
        """Waits for a new report, or for the time of the next attempt."""
        delay_s = _POLL_INTERVAL_S
        if self._quarantine.list_unstored():
            delay_s = self._random.uniform(
                _MIN_WRITE_RETRY_S, _MAX_WRITE_RETRY_S
            )
        try:
            async with asyncio.timeout(delay_s):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()

    async def _write_unstored(self) -> None:
        for report in self._quarantine.list_unstored():
            era = await self._store.write_crash(report)
            self._quarantine.record_written(report, era)

    async def _remove_expired(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for report in self._quarantine.list_expired(
            now_s - self._removal_delay_s
        ):
            await self._store.remove_crash(report)
            self._quarantine.discard(report)
            _LOGGER.notice(
                "quarantine ended",
                parts=sorted(report.content.parts),
                fingerprint=report.content.fingerprint,
            )


async def _has_ended(server: directory.ServerEntry) -> bool:
    """Returns whether the address of a server refuses connections."""
    host, _, port = server.address.rpartition(":")
    try:
        async with asyncio.timeout(_CONFIRMATION_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (TimeoutError, OSError) as error:
        _LOGGER.info(
            "server neither accepts nor refuses connections",
            server=server.name,
            error=repr(error),
        )
        return False
    writer.close()
    return False
