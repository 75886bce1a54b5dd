"""Reads the load reports of engines."""

import asyncio
from collections.abc import Collection
from typing import Protocol

from tornado import httpclient, simple_httpclient

from dragonflydyke import logs, metrics, transport
from dragonflydyke.forwarding import directory, escalation

# An engine of the same region answers within milliseconds; one that does not is
# down, unreachable or overloaded.
_TIMEOUT_S = 0.2
# The HTTP client queues requests above this number without reporting it.
_MAX_CONNECTIONS = 200
# Limits the memory that a broken server can use with an endless body.
_MAX_REPORT_BYTES = 262_144
_OK = 200

_LOGGER = logs.get_logger("reports")


class ReportCodec(Protocol):
    """Decodes reports of engines."""

    @property
    def report_path(self) -> str:
        """Path of an engine's report."""

    def read_report(self, body: bytes) -> escalation.EngineReport:
        """Returns the contents of a report.

        Raises:
            ValueError: If the report cannot be decoded.
        """


class ReportReader:
    """Reads fresh reports of a few engines at a time."""

    __slots__ = ("_codec", "_counters", "_http")

    def __init__(self, codec: ReportCodec, counters: metrics.Counters) -> None:
        """Creates a reader without connections.

        Args:
            codec: Decodes the reports.
            counters: Receives `report.<outcome>`.
        """
        self._codec = codec
        self._counters = counters
        self._http = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True,
            resolver=transport.AddressResolver(),
            max_clients=_MAX_CONNECTIONS,
            max_body_size=_MAX_REPORT_BYTES,
        )

    async def read_all(
        self, servers: Collection[directory.ServerEntry]
    ) -> dict[str, escalation.EngineReport]:
        """Returns the reports of the servers that answered, by name."""
        found = await asyncio.gather(*(self._read(s) for s in servers))
        return {
            server.name: report
            for server, report in zip(servers, found, strict=True)
            if report is not None
        }

    async def _read(
        self, server: directory.ServerEntry
    ) -> escalation.EngineReport | None:
        request = httpclient.HTTPRequest(
            server.backend.url + self._codec.report_path,
            connect_timeout=_TIMEOUT_S,
            request_timeout=_TIMEOUT_S,
            follow_redirects=False,
        )
        try:
            response = await self._http.fetch(request, raise_error=False)
            if response.code != _OK:
                raise ValueError(f"status {response.code}")
            report = self._codec.read_report(response.body)
        except (OSError, ValueError, httpclient.HTTPError) as error:
            self._counters.increment("report.failed")
            _LOGGER.info(
                "no report of engine", server=server.name, error=str(error)
            )
            return None
        self._counters.increment("report.read")
        return report
