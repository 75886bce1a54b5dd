"""Tests of responses of servers that never end."""

import asyncio
import gc

from dragonflydyke.forwarding import model, response_memory
from tests.builders import (
    forwarding,
    memory_growth,
    scripted_servers,
    skipping_loop,
)

_RESPONSES = 40
_CHUNK = b"x" * 60_000
# Requests one after the other; their responses have twice the limit on a node.
_GIVEN_UP = 3
_TIMEOUT_S = 5.0
# More than the kernel holds of a connection.
_LARGE_BYTES = 12_000_000
# Memory of the node beside the responses that it holds: one chunk of each
# connection in its queue and one in its buffer, on both ends of the test.
_OVERHEAD_BYTES = _RESPONSES * 8 * 65_536


async def _send_endless_body(
    request: scripted_servers.ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    scripted_servers.write_start(request, writer, Transfer_Encoding="chunked")
    while not writer.is_closing():
        scripted_servers.write_chunk(writer, _CHUNK)
        await writer.drain()


class EndlessResponseTest(forwarding.ForwardingTestCase):
    """Guards against a node that exceeds its memory under endless responses.

    A node of 128 MB was ended by forty of them.
    """

    async def asyncSetUp(self) -> None:
        """Starts a server whose signed responses never end."""
        await super().asyncSetUp()
        self.forwarder.policy = forwarding.build_policy(
            forwarding.build_plain_route(model.RequestKind.NON_IDEMPOTENT)
        )

    async def test_memory_is_bounded_over_all_responses(self) -> None:
        peak_bytes = 0

        async def run(request, writer) -> None:
            nonlocal peak_bytes
            scripted_servers.write_start(
                request, writer, Transfer_Encoding="chunked"
            )
            while not writer.is_closing():
                scripted_servers.write_chunk(writer, _CHUNK)
                await writer.drain()
                peak_bytes = max(peak_bytes, self.response_memory.used_bytes)

        await self.start_server("a", run, pool="plain")
        with memory_growth.measure() as growth:
            responses = await asyncio.gather(
                *(self.fetch(Attempt_Id=f"r{n}") for n in range(_RESPONSES))
            )
        self.assertEqual({r.status for r in responses}, {502})
        self.assertLessEqual(
            peak_bytes,
            response_memory.MAX_TOTAL_BYTES
            + _RESPONSES * response_memory.GUARANTEED_BYTES,
        )
        self.assertLess(
            growth.peak_bytes, response_memory.MAX_TOTAL_BYTES + _OVERHEAD_BYTES
        )
        self.assertEqual(self.response_memory.used_bytes, 0)

    async def test_memory_is_freed_with_the_responses_that_were_given_up(
        self,
    ) -> None:
        """The process kept them until a run of the garbage collector.

        A node of 150 MB was ended by a few endless responses a second.
        """
        await self.start_server("a", _send_endless_body, pool="plain")
        await self.fetch()
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        with memory_growth.measure() as growth:
            for number in range(_GIVEN_UP):
                response = await self.fetch(Attempt_Id=f"r{number}")
                self.assertEqual(response.status, 502)
        self.assertLess(growth.size_bytes, response_memory.MAX_TOTAL_BYTES / 4)

    async def test_events_without_end_count(self) -> None:
        """Each stream held up to 1 MB that no limit knew of."""
        self.forwarder.policy = forwarding.build_policy()
        others_bytes = response_memory.MAX_TOTAL_BYTES

        async def run(request, writer) -> None:
            scripted_servers.write_stream_start(request, writer)
            # The first part is within what any response may hold.
            scripted_servers.write_chunk(writer, _CHUNK)
            await writer.drain()
            await skipping_loop.wait_until(
                lambda: self.response_memory.used_bytes > others_bytes
            )
            scripted_servers.write_chunk(writer, _CHUNK)
            await asyncio.Event().wait()

        await self.start_server("a", run)
        self.response_memory.used_bytes = others_bytes
        async with asyncio.timeout(_TIMEOUT_S):
            response = await self.fetch()
        self.assertEqual(response.status, 502)
        self.assertEqual(self.response_memory.used_bytes, others_bytes)

    async def test_failures_that_are_kept_for_later_count(self) -> None:
        """They are held while the request is tried at other servers."""
        self.forwarder.policy = forwarding.build_policy(
            forwarding.build_plain_route(model.RequestKind.IDEMPOTENT)
        )
        has_failed = asyncio.Event()
        may_answer = asyncio.Event()

        async def run(request, writer) -> None:
            if has_failed.is_set():
                await may_answer.wait()
                scripted_servers.write_response(request, writer, b"ok")
                return
            has_failed.set()
            scripted_servers.write_response(
                request, writer, _CHUNK, status="500 Error"
            )

        for name in ("a", "b"):
            await self.start_server(name, run, pool="plain")
        reader, _ = await self.send()
        await skipping_loop.wait_until(lambda: self.count_received() == 2)
        self.assertEqual(self.response_memory.used_bytes, len(_CHUNK))
        may_answer.set()
        response = await forwarding.read_response(reader)
        self.assertEqual((response.status, response.body), (200, b"ok"))
        await skipping_loop.wait_until(
            lambda: not self.response_memory.used_bytes
        )

    async def test_response_counts_until_its_client_has_read_it(self) -> None:
        """Clients that do not read would let a node exceed its memory."""

        async def run(request, writer) -> None:
            scripted_servers.write_response(
                request, writer, b"y" * _LARGE_BYTES
            )
            await writer.drain()

        await self.start_server("a", run, pool="plain")
        reader, writer = await self.send()
        # The client reads nothing beyond its own buffer.
        writer.transport.pause_reading()
        await skipping_loop.wait_until(
            lambda: self.counters.total("request.delivered")
        )
        self.assertEqual(self.response_memory.used_bytes, _LARGE_BYTES)
        writer.transport.resume_reading()
        response = await forwarding.read_response(reader)
        self.assertEqual(len(response.body), _LARGE_BYTES)
        await skipping_loop.wait_until(
            lambda: not self.response_memory.used_bytes
        )

    async def test_short_responses_are_delivered_beside_endless_ones(
        self,
    ) -> None:
        self.response_memory.used_bytes = response_memory.MAX_TOTAL_BYTES

        async def run(request, writer) -> None:
            scripted_servers.write_response(request, writer, b"y" * 5_000)
            await writer.drain()

        await self.start_server("a", run, pool="plain")
        response = await self.fetch()
        self.assertEqual((response.status, len(response.body)), (200, 5_000))

    async def test_memory_is_released_if_the_client_disconnects(self) -> None:
        async def run(request, writer) -> None:
            scripted_servers.write_start(
                request, writer, Transfer_Encoding="chunked"
            )
            scripted_servers.write_chunk(writer, _CHUNK)
            await writer.drain()
            await asyncio.Event().wait()

        await self.start_server("a", run, pool="plain")
        _, writer = await self.send()
        await skipping_loop.wait_until(lambda: self.response_memory.used_bytes)
        writer.close()
        await skipping_loop.wait_until(
            lambda: not self.response_memory.used_bytes
        )
