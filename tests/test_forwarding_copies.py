"""Tests of responses that come twice, and of servers that fall silent.

Other operators reported both failures; see docs/INVARIANTS.md.
"""

import asyncio

from tests.builders import forwarding, scripted_servers, skipping_loop

_COPY_DELAY_S = 0.02
_EVENTS = 4


class RepeatedResponseTest(forwarding.ForwardingTestCase):
    """Guards against a late copy of a response taken for another one."""

    async def test_late_copy_reaches_no_other_request(self) -> None:
        """The request ids are equal, so that only the connection tells them."""

        async def respond_twice(request, writer) -> None:
            scripted_servers.write_response(request, writer, request.body)
            await writer.drain()
            await asyncio.sleep(_COPY_DELAY_S)
            scripted_servers.write_response(request, writer, request.body)

        await self.start_server("a", respond_twice)
        for number in range(5):
            question = b"question %d" % number
            response = await self.fetch(body=question)
            self.assertEqual((response.status, response.body), (200, question))
            await asyncio.sleep(2 * _COPY_DELAY_S * (number % 2))
        self.assertEqual(self.count_received(), 5)


class SilentServerTest(forwarding.ForwardingTestCase):
    """Guards against work started again because its server is silent."""

    async def test_stream_goes_on_while_its_server_is_not_listed(self) -> None:
        proceed = asyncio.Event()

        async def stream(request, writer) -> None:
            scripted_servers.write_stream_start(request, writer)
            for event_id in range(1, _EVENTS + 1):
                scripted_servers.write_event(writer, event_id)
                await writer.drain()
                await proceed.wait()
            scripted_servers.write_chunk(writer, b"")
            await writer.drain()

        await self.start_server("a", stream)
        await self.start_server("b", stream)
        fetching = asyncio.create_task(self.fetch())
        await skipping_loop.wait_until(self.count_received)
        self.directory.update((), self.loop.time(), after_outage=False)
        await asyncio.sleep(_COPY_DELAY_S)
        proceed.set()
        response = await fetching
        self.assertEqual((response.status, response.is_complete), (200, True))
        self.assertEqual(response.body.count(b"id: "), _EVENTS)
        self.assertEqual(self.count_received(), 1)
