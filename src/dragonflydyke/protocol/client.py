"""gRPC client of the calls between routers."""

from typing import Any

import grpc

from dragonflydyke import errors, metrics
from dragonflydyke.protocol import node_pb2, node_pb2_grpc, server

# By default gRPC delays a reconnection for up to two minutes, during which a
# replaced VM would appear unreachable to its peers.
_INITIAL_BACKOFF_MS = 100
_MAX_BACKOFF_MS = 500
# Time for opening a connection, which gRPC takes from its minimum backoff. The
# first bytes of a busy VM may take longer than the backoff, and a connection
# that is given up and opened again only adds to its load.
_CONNECT_TIMEOUT_MS = 5_000
_OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", _INITIAL_BACKOFF_MS),
    ("grpc.min_reconnect_backoff_ms", _CONNECT_TIMEOUT_MS),
    ("grpc.max_reconnect_backoff_ms", _MAX_BACKOFF_MS),
    ("grpc.max_receive_message_length", server.MAX_MESSAGE_BYTES),
    ("grpc.enable_http_proxy", 0),
    *server.FLOW_CONTROL_OPTIONS,
)


class PeerClient:
    """Client of another router; connects on the first call.

    All calls raise DragonflydykeError `peer_unavailable` on failure.
    """

    __slots__ = ("_address", "_channel", "_counters", "_metadata", "_stub")

    def __init__(
        self,
        address: str,
        *,
        inner_key: str,
        counters: metrics.Counters,
        tls: server.Tls | None = None,
    ) -> None:
        """Creates a client.

        Args:
            address: `host:port` of the peer's inner address.
            inner_key: Key shared by all routers.
            counters: Receives `peer.<call>.answered` and `peer.<call>.failed`.
            tls: Certificates; None connects without TLS.
        """
        self._address = address
        self._counters = counters
        self._metadata = ((server.INNER_KEY_METADATA, inner_key),)
        self._channel = _open_channel(address, tls)
        self._stub = node_pb2_grpc.NodeStub(self._channel)

    async def exchange(
        self, report: node_pb2.NodeReport, *, timeout_s: float
    ) -> node_pb2.NodeReport:
        """Sends a report and returns the peer's report."""
        return await self._call("exchange", "Exchange", report, timeout_s)

    async def hold_bills(
        self, request: node_pb2.HoldBillsRequest, *, timeout_s: float
    ) -> node_pb2.HoldBillsReply:
        """Replicates bills to the peer."""
        return await self._call("hold_bills", "HoldBills", request, timeout_s)

    async def announce_change(
        self, announcement: node_pb2.ChangeAnnouncement, *, timeout_s: float
    ) -> node_pb2.ChangeAcknowledgement:
        """Announces a change or its outcome."""
        return await self._call(
            "announce_change", "AnnounceChange", announcement, timeout_s
        )

    async def fetch_state(
        self, request: node_pb2.FetchStateRequest, *, timeout_s: float
    ) -> node_pb2.StateBundle:
        """Fetches the peer's control objects."""
        return await self._call("fetch_state", "FetchState", request, timeout_s)

    async def close(self) -> None:
        """Closes the connection."""
        await self._channel.close()

    async def _call(
        self, name: str, method: str, request: Any, timeout_s: float
    ) -> Any:
        call = getattr(self._stub, method)
        try:
            reply = await call(
                request, timeout=timeout_s, metadata=self._metadata
            )
        except grpc.aio.AioRpcError as error:
            self._counters.increment(f"peer.{name}.failed")
            raise errors.DragonflydykeError(
                "peer_unavailable",
                f"{name} failed: {error.code().name} {error.details()}",
                step=errors.Step.CALL_PEER,
                peer=self._address,
                execution=errors.Execution.UNKNOWN,
                retry_after_s=1.0,
                status=503,
            ) from error
        self._counters.increment(f"peer.{name}.answered")
        return reply


def _open_channel(address: str, tls: server.Tls | None) -> grpc.aio.Channel:
    if tls is None:
        return grpc.aio.insecure_channel(address, options=_OPTIONS)
    credentials = grpc.ssl_channel_credentials(
        root_certificates=tls.authority,
        private_key=tls.private_key,
        certificate_chain=tls.certificate,
    )
    return grpc.aio.secure_channel(address, credentials, options=_OPTIONS)
