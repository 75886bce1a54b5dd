"""Tests of responses of servers that never end."""

import asyncio
import tracemalloc

from dragonflydyke.forwarding import model, response_memory
from tests.builders import forwarding, skipping_loop

_RESPONSES = 40
_CHUNK = b"x" * 60_000
# Memory of the node beside the responses that it holds: one chunk of each
# connection in its queue and one in its buffer, on both ends of the test.
_OVERHEAD_BYTES = _RESPONSES * 8 * 65_536


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
            forwarding.write_start(request, writer, Transfer_Encoding="chunked")
            while not writer.is_closing():
                forwarding.write_chunk(writer, _CHUNK)
                await writer.drain()
                peak_bytes = max(peak_bytes, self.response_memory.used_bytes)

        await self.start_server("a", run, pool="plain")
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        responses = await asyncio.gather(
            *(self.fetch(Attempt_Id=f"r{n}") for n in range(_RESPONSES))
        )
        _, traced_bytes = tracemalloc.get_traced_memory()
        self.assertEqual({r.status for r in responses}, {502})
        self.assertLessEqual(
            peak_bytes,
            response_memory.MAX_TOTAL_BYTES
            + _RESPONSES * response_memory.GUARANTEED_BYTES,
        )
        self.assertLess(
            traced_bytes, response_memory.MAX_TOTAL_BYTES + _OVERHEAD_BYTES
        )
        self.assertEqual(self.response_memory.used_bytes, 0)

    async def test_short_responses_are_delivered_beside_endless_ones(
        self,
    ) -> None:
        self.response_memory.used_bytes = response_memory.MAX_TOTAL_BYTES

        async def run(request, writer) -> None:
            forwarding.write_response(request, writer, b"y" * 5_000)
            await writer.drain()

        await self.start_server("a", run, pool="plain")
        response = await self.fetch()
        self.assertEqual((response.status, len(response.body)), (200, 5_000))

    async def test_memory_is_released_if_the_client_disconnects(self) -> None:
        async def run(request, writer) -> None:
            forwarding.write_start(request, writer, Transfer_Encoding="chunked")
            forwarding.write_chunk(writer, _CHUNK)
            await writer.drain()
            await asyncio.Event().wait()

        await self.start_server("a", run, pool="plain")
        _, writer = await self.send()
        await skipping_loop.wait_until(lambda: self.response_memory.used_bytes)
        writer.close()
        await skipping_loop.wait_until(
            lambda: not self.response_memory.used_bytes
        )
