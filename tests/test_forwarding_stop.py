"""Tests of requests that a planned stop of a node interrupts."""

import asyncio

from dragonflydyke.forwarding import decisions, model
from tests.builders import forwarding, scripted_servers, skipping_loop

# More than the kernel holds of a connection.
_LARGE_BYTES = 12_000_000
# Time in which a server that does not wait would end.
_PAUSE_S = 0.2
_TIMEOUT_S = 10.0


class StopTest(forwarding.ForwardingTestCase):
    """Guards against requests that end without a response at a stop."""

    async def asyncSetUp(self) -> None:
        """Starts a plain server that does not respond."""
        await super().asyncSetUp()
        self.forwarder.policy = forwarding.build_policy(
            forwarding.build_plain_route(model.RequestKind.NON_IDEMPOTENT)
        )
        self.plain = await self.start_server("a", _hang, pool="plain")

    async def test_request_that_may_have_run_gets_a_response(self) -> None:
        """Callers cannot tell a lost connection from a lost request."""
        reader, _ = await self.send()
        await skipping_loop.wait_until(lambda: self.plain.received)
        await self.server.stop()
        response = await forwarding.read_response(reader)
        self.assertEqual((response.status, response.is_complete), (502, True))
        self.assertEqual(response.body, b"node_stopped\n")
        await skipping_loop.wait_until(lambda: self.plain.cancelled)

    async def test_response_that_a_client_still_reads_is_not_cut(self) -> None:
        """The rest was discarded with the connection, seconds too early."""
        self.plain.script = _send_large
        reader, writer = await self.send()
        writer.transport.pause_reading()
        await skipping_loop.wait_until(self.count_received)
        await asyncio.sleep(_PAUSE_S)
        stop = asyncio.create_task(self.stop())
        await asyncio.sleep(_PAUSE_S)
        self.assertFalse(stop.done())
        writer.transport.resume_reading()
        response = await forwarding.read_response(reader)
        self.assertTrue(response.is_complete)
        self.assertGreaterEqual(len(response.body), _LARGE_BYTES)
        async with asyncio.timeout(_TIMEOUT_S):
            await stop

    async def stop(self) -> None:
        """Stops the server as a node does at the end of a drain."""
        await self.server.wait_idle(self.loop.time() + 60.0)
        await self.server.stop()

    async def test_server_gets_no_more_time_than_the_node_has(self) -> None:
        """A server would go on for a caller that gets no response."""
        self.forwarder.stop_s = self.loop.time() + 1.0
        await self.send()
        await skipping_loop.wait_until(lambda: self.plain.received)
        (request,) = self.plain.received
        self.assertLessEqual(int(request.headers["Deadline-Ms"]), 1_000)

    def test_stop_says_whether_a_request_may_have_run(self) -> None:
        for may_have_run, status in ((True, 502), (False, 503)):
            with self.subTest(may_have_run=may_have_run):
                error = decisions.build_stop_failure(may_have_run=may_have_run)
                self.assertEqual(error.status, status)


async def _send_large(
    request: scripted_servers.ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    scripted_servers.write_response(request, writer, b"y" * _LARGE_BYTES)
    await writer.drain()


async def _hang(
    request: scripted_servers.ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await asyncio.Event().wait()
