"""Tests of streams whose server is silent, or makes no progress."""

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
# More streams than the retry budget has retries.
_STREAMS = 12
_SILENCE_S = 2.5
_SHORT_SILENCE_S = 1.3


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


class SilentServerTest(forwarding.ForwardingTestCase):
    """Guards against sound streams that are cut as others took the retries.

    All streams of a server that is silent for a while stall at the same time.
    Each of them was given up while there were retries, and most got none.
    """

    async def asyncSetUp(self) -> None:
        """Starts a server that is silent until `goes_on` is set."""
        await super().asyncSetUp()
        self.goes_on = asyncio.Event()
        self.began = asyncio.Semaphore(0)
        self.silent_after = 2
        self.forwarder.policy = forwarding.build_policy(
            forwarding.build_route(
                max_event_gap_s=_MAX_GAP_S, target_latency_s=_SILENCE_S / 2
            )
        )
        await self.start_server("silent", self.run_silent)

    async def run_silent(self, request, writer) -> None:
        """Sends some events, and the others after the silence."""
        if self.silent_after:
            scripted_servers.write_stream_start(request, writer)
        for event_id in range(1, self.silent_after + 1):
            scripted_servers.write_event(writer, event_id)
        self.began.release()
        await self.goes_on.wait()
        if not self.silent_after:
            scripted_servers.write_stream_start(request, writer)
        await self.send_rest(writer, self.silent_after)

    async def resume(self, request, writer) -> None:
        """Sends the events after the last one that the client has."""
        scripted_servers.write_stream_start(request, writer)
        await self.send_rest(
            writer, int(request.headers.get("Last-Event-Id", "0"))
        )

    async def send_rest(self, writer, last_event: int) -> None:
        """Sends the events after one, and the end of the stream."""
        for event_id in range(last_event + 1, _LAST_EVENT + 1):
            scripted_servers.write_event(writer, event_id)
        scripted_servers.write_chunk(writer, b"")
        await writer.drain()

    async def check_streams(self) -> None:
        """Checks that all streams are complete after a long silence."""
        fetches = [
            asyncio.create_task(self.fetch(Attempt_Id=f"r{number}"))
            for number in range(_STREAMS)
        ]
        for _ in fetches:
            await self.began.acquire()
        await self.start_server("other", self.resume)
        await asyncio.sleep(_SILENCE_S)
        self.goes_on.set()
        responses = await asyncio.gather(*fetches)
        self.assertEqual([r.status for r in responses], [200] * _STREAMS)
        self.assertTrue(all(r.is_complete for r in responses))
        counts = [r.body.count(b"id: ") for r in responses]
        self.assertEqual(counts, [_LAST_EVENT] * _STREAMS)
        # The retries that there were have been used.
        self.assertEqual(len(self.servers["other"].received), 4)
        self.assertEqual(self.servers["silent"].cancelled, 4)

    async def test_streams_without_a_retry_wait_for_their_server(self) -> None:
        await self.check_streams()

    async def test_unstarted_streams_without_a_retry_wait(self) -> None:
        self.silent_after = 0
        self.servers["silent"].report = b""
        await self.check_streams()

    async def test_stream_is_not_moved_after_a_short_silence(self) -> None:
        """Two servers worked on it, as the silent one had not stopped."""
        fetch = asyncio.create_task(self.fetch())
        await self.began.acquire()
        await self.start_server("other", self.resume)
        await asyncio.sleep(_SHORT_SILENCE_S)
        self.goes_on.set()
        response = await fetch
        self.assertTrue(response.is_complete)
        self.assertEqual(self.count_received(), 1)

    async def test_stream_is_kept_if_no_other_attempt_may_follow(self) -> None:
        """A retry that is bound to fail would only end the stream."""
        self.forwarder.policy = forwarding.build_policy(
            forwarding.build_route(max_event_gap_s=_MAX_GAP_S, max_attempts=1)
        )
        fetch = asyncio.create_task(self.fetch())
        await self.began.acquire()
        await self.start_server("other", self.resume)
        await asyncio.sleep(_SILENCE_S)
        self.goes_on.set()
        response = await fetch
        self.assertTrue(response.is_complete)
        self.assertEqual(self.count_received(), 1)
