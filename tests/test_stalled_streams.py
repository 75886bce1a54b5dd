"""Tests of streams whose server sends bytes without making progress."""

import asyncio
import itertools
from collections.abc import Iterable

from tests.builders import forwarding, scripted_servers

# A resumable stream may pause for twice the longest gap.
_MAX_GAP_S = 0.3
_LIMIT_S = 2 * _MAX_GAP_S
_TRICKLE_S = 0.1
# Covers the exchanges before and after the pause.
_MARGIN_S = 1.5
_LAST_EVENT = 4


class StalledStreamTest(forwarding.ForwardingTestCase):
    """Guards against stalled streams that a byte now and then keeps alive."""

    async def resume_after(self, fragments: Iterable[bytes]) -> float:
        """Returns the seconds of a stream that a second attempt completes.

        Args:
            fragments: What the server sends after the second event, one each
                0.1 s.
        """
        attempts = itertools.count()

        async def run(request, writer) -> None:
            scripted_servers.write_stream_start(request, writer)
            if next(attempts) == 0:
                for event_id in (1, 2):
                    scripted_servers.write_event(writer, event_id)
                for fragment in fragments:
                    scripted_servers.write_chunk(writer, fragment)
                    await writer.drain()
                    await asyncio.sleep(_TRICKLE_S)
                return
            for event_id in range(3, _LAST_EVENT + 1):
                scripted_servers.write_event(writer, event_id)
            scripted_servers.write_chunk(writer, b"")
            await writer.drain()

        self.forwarder.policy = forwarding.build_policy(
            forwarding.build_route(max_event_gap_s=_MAX_GAP_S)
        )
        await self.start_server("a", run)
        started_s = self.loop.time()
        response = await self.fetch()
        self.assertTrue(response.is_complete)
        self.assertEqual(response.body.count(b"id: "), _LAST_EVENT)
        return self.loop.time() - started_s

    async def test_trickled_event_is_no_progress(self) -> None:
        """It held the stream for 6.1 s where 0.6 s is the limit."""
        elapsed_s = await self.resume_after([b"i"] * 60)
        self.assertLess(elapsed_s, _LIMIT_S + _MARGIN_S)

    async def test_comments_are_no_progress(self) -> None:
        elapsed_s = await self.resume_after([b": ping\n\n"] * 60)
        self.assertLess(elapsed_s, _LIMIT_S + _MARGIN_S)

    async def test_slow_event_within_the_limit_is_delivered(self) -> None:
        """Sound slow streams must not be interrupted."""

        async def run(request, writer) -> None:
            scripted_servers.write_stream_start(request, writer)
            for event_id in range(1, _LAST_EVENT + 1):
                scripted_servers.write_event(writer, event_id)
                await writer.drain()
                await asyncio.sleep(_LIMIT_S / 2)
            scripted_servers.write_chunk(writer, b"")
            await writer.drain()

        self.forwarder.policy = forwarding.build_policy(
            forwarding.build_route(max_event_gap_s=_MAX_GAP_S)
        )
        await self.start_server("a", run)
        response = await self.fetch()
        self.assertTrue(response.is_complete)
        self.assertEqual(len(self.servers["a"].received), 1)
