"""gRPC server of the calls between routers."""

import dataclasses
import hmac
from typing import Any

import grpc

from dragonflydyke import errors, metrics, settings
from dragonflydyke.protocol import node_pb2, node_pb2_grpc

INNER_KEY_METADATA = "dragonflydyke-inner-key"
# A state bundle contains control objects of up to 1 MB each.
MAX_MESSAGE_BYTES = 16_000_000
# The bandwidth probe sends a ping and a response with each small call, which
# are a quarter of all bytes. The fixed window allows a configuration of 1 MB to
# be sent in one round trip between regions.
FLOW_CONTROL_OPTIONS = (
    ("grpc.http2.bdp_probe", 0),
    ("grpc.http2.lookahead_bytes", 1_000_000),
)


@dataclasses.dataclass(slots=True, frozen=True)
class Tls:
    """Certificates and key for mutual TLS between routers, as PEM.

    Attributes:
        certificate: Certificate chain of this router.
        private_key: Private key of the certificate.
        authority: Certificate of the authority that signed all routers'
            certificates.
    """

    certificate: bytes
    private_key: bytes = dataclasses.field(repr=False)
    authority: bytes


class NodeServer(node_pb2_grpc.NodeServicer):
    """gRPC server that checks the inner key and dispatches to the handlers."""

    __slots__ = ("_counters", "_handlers", "_inner_key", "_server", "_tls")

    def __init__(
        self,
        handlers: Any,
        *,
        inner_key: str,
        counters: metrics.Counters,
        tls: Tls | None = None,
    ) -> None:
        """Creates a server.

        Args:
            handlers: Object with the async methods `exchange`, `hold_bills`,
                `announce_change` and `fetch_state`.
            inner_key: Key that the metadata of each call must contain.
            counters: Receives `inner.<call>.served` and
                `inner.<call>.refused`.
            tls: Certificates; None serves without TLS.
        """
        self._handlers = handlers
        self._inner_key = inner_key.encode()
        self._counters = counters
        self._tls = tls
        self._server: grpc.aio.Server | None = None

    async def start(self, address: settings.Address) -> int:
        """Starts to serve calls.

        Args:
            address: Address to listen on; port 0 selects a free port.

        Returns:
            The port on which the server listens.

        Raises:
            DragonflydykeError: `inner_address_unavailable` if the server
                cannot listen on the address.
        """
        server = grpc.aio.server(
            options=(
                ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
                ("grpc.so_reuseport", 0),
                *FLOW_CONTROL_OPTIONS,
            )
        )
        node_pb2_grpc.add_NodeServicer_to_server(self, server)
        try:
            port = self._bind(server, str(address))
        except RuntimeError as error:
            raise errors.DragonflydykeError(
                "inner_address_unavailable",
                f"cannot listen on {address}; choose a free inner address",
                step=errors.Step.CONNECT,
                peer=str(address),
            ) from error
        await server.start()
        self._server = server
        return port

    async def stop(self, grace_s: float) -> None:
        """Rejects new calls and waits for those in flight.

        Args:
            grace_s: Seconds after which calls in flight are cancelled.
        """
        if self._server is not None:
            await self._server.stop(grace_s)
            self._server = None

    def _bind(self, server: grpc.aio.Server, address: str) -> int:
        if self._tls is None:
            return server.add_insecure_port(address)
        credentials = grpc.ssl_server_credentials(
            ((self._tls.private_key, self._tls.certificate),),
            root_certificates=self._tls.authority,
            require_client_auth=True,
        )
        return server.add_secure_port(address, credentials)

    async def _serve(self, name: str, request: Any, context: Any) -> Any:
        metadata = dict(context.invocation_metadata() or ())
        received_key = metadata.get(INNER_KEY_METADATA, "")
        if not hmac.compare_digest(received_key.encode(), self._inner_key):
            self._counters.increment(f"inner.{name}.refused")
            await context.abort(
                grpc.StatusCode.UNAUTHENTICATED,
                "wrong inner key; give all routers the same --inner-key-file",
            )
        self._counters.increment(f"inner.{name}.served")
        return await getattr(self._handlers, name)(request)

    async def Exchange(  # noqa: N802
        self, request: node_pb2.NodeReport, context: Any
    ) -> node_pb2.NodeReport:
        """Serves the `Exchange` call."""
        return await self._serve("exchange", request, context)

    async def HoldBills(  # noqa: N802
        self, request: node_pb2.HoldBillsRequest, context: Any
    ) -> node_pb2.HoldBillsReply:
        """Serves the `HoldBills` call."""
        return await self._serve("hold_bills", request, context)

    async def AnnounceChange(  # noqa: N802
        self, request: node_pb2.ChangeAnnouncement, context: Any
    ) -> node_pb2.ChangeAcknowledgement:
        """Serves the `AnnounceChange` call."""
        return await self._serve("announce_change", request, context)

    async def FetchState(  # noqa: N802
        self, request: node_pb2.FetchStateRequest, context: Any
    ) -> node_pb2.StateBundle:
        """Serves the `FetchState` call."""
        return await self._serve("fetch_state", request, context)
