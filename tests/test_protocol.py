"""Tests of the calls between routers over gRPC connections."""

import asyncio
import dataclasses
import unittest

from dragonflydyke import errors, metrics, settings
from dragonflydyke.protocol import client, node_pb2, server
from harness import proxy
from tests.builders import certificates

# The resulting 60 s are far above the reconnection backoff, for busy machines.
_MAX_ATTEMPTS = 1_200
_ATTEMPT_PERIOD_S = 0.05


class _Handlers:
    async def exchange(
        self, report: node_pb2.NodeReport
    ) -> node_pb2.NodeReport:
        return node_pb2.NodeReport(vm=f"peer of {report.vm}")


class ProtocolTest(unittest.IsolatedAsyncioTestCase):
    """Guards against unauthenticated calls and failing reconnections."""

    async def asyncSetUp(self) -> None:
        self.counters = metrics.Counters()
        self.port = await self._serve(0)

    async def _serve(self, port: int) -> int:
        self.server = server.NodeServer(
            _Handlers(), inner_key="key", counters=self.counters
        )
        self.addAsyncCleanup(self.server.stop, 0)
        return await self.server.start(settings.Address("127.0.0.1", port))

    def _connect(
        self, inner_key: str, tls: server.Tls | None = None
    ) -> client.PeerClient:
        peer = client.PeerClient(
            f"127.0.0.1:{self.port}",
            inner_key=inner_key,
            counters=self.counters,
            tls=tls,
        )
        self.addAsyncCleanup(peer.close)
        return peer

    async def test_call_with_wrong_inner_key_is_rejected(self) -> None:
        """Only a call with the inner key of the server is served."""
        report = node_pb2.NodeReport(vm="a")
        response = await self._connect("key").exchange(report, timeout_s=30)
        self.assertEqual("peer of a", response.vm)
        with self.assertRaises(errors.DragonflydykeError) as raised:
            await self._connect("other").exchange(report, timeout_s=30)
        self.assertEqual("peer_unavailable", raised.exception.code)
        self.assertEqual(1, self.counters.total("inner.exchange.refused"))
        self.assertEqual(1, self.counters.total("peer.exchange.failed"))

    async def test_tls_requires_a_client_certificate(self) -> None:
        """A server with TLS also requires a certificate of the authority."""
        tls = certificates.build_tls()
        secure = server.NodeServer(
            _Handlers(), inner_key="key", counters=self.counters, tls=tls
        )
        self.addAsyncCleanup(secure.stop, 0)
        self.port = await secure.start(settings.Address("127.0.0.1", 0))
        report = node_pb2.NodeReport(vm="a")
        response = await self._connect("key", tls).exchange(
            report, timeout_s=30
        )
        self.assertEqual("peer of a", response.vm)
        other = certificates.build_tls()
        untrusted = dataclasses.replace(other, authority=tls.authority)
        for wrong in (untrusted, None):
            with self.assertRaises(errors.DragonflydykeError):
                await self._connect("key", wrong).exchange(report, timeout_s=30)

    async def test_peer_with_a_slow_handshake_is_reached(self) -> None:
        """Connections were given up and opened anew, two a second, for good.

        The time for a handshake had the limit of the time between two
        connections, which a busy VM exceeds.
        """
        slow = proxy.FaultProxy("127.0.0.1", self.port)
        await slow.start()
        self.addAsyncCleanup(slow.stop)
        # The first bytes of the peer take this long.
        slow.faults.delay_s = 0.7
        peer = client.PeerClient(
            slow.address, inner_key="key", counters=self.counters
        )
        self.addAsyncCleanup(peer.close)
        report = node_pb2.NodeReport(vm="a")
        response = await peer.exchange(report, timeout_s=30)
        self.assertEqual("peer of a", response.vm)

    async def test_replaced_peer_is_reached_again(self) -> None:
        """An existing client reconnects to a restarted peer."""
        peer = self._connect("key")
        report = node_pb2.NodeReport(vm="a")
        await peer.exchange(report, timeout_s=30)
        await self.server.stop(0)
        with self.assertRaises(errors.DragonflydykeError):
            await peer.exchange(report, timeout_s=30)
        await self._serve(self.port)
        for _ in range(_MAX_ATTEMPTS):
            try:
                response = await peer.exchange(report, timeout_s=30)
            except errors.DragonflydykeError:
                await asyncio.sleep(_ATTEMPT_PERIOD_S)
                continue
            self.assertEqual("peer of a", response.vm)
            return
        self.fail("the restarted peer was not reached")


if __name__ == "__main__":
    unittest.main()
