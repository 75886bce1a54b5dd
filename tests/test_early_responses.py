"""Tests of responses that begin before their server has read the request."""

import asyncio
import socket
from collections.abc import Callable

from dragonflydyke.forwarding import model
from tests.builders import forwarding, scripted_servers

_UPLOAD = b"u" * 3_000_000
_PART = b"part of the response"
_EVENTS = 4
_PLAIN_PATH = "/streams/upload"
# Time in which bytes and ends of connections arrive.
_ARRIVAL_S = 0.05
# What a response has beside its status, and how its first bytes are written.
_FRAMINGS = {
    "no length": {},
    "length": {"Content_Length": "5000"},
    "chunks": {"Transfer_Encoding": "chunked"},
}

End = Callable[[asyncio.StreamWriter], None]


def _close_orderly(writer: asyncio.StreamWriter) -> None:
    """Ends the response first; what still arrives resets the connection."""
    connection = writer.get_extra_info("socket")
    connection.shutdown(socket.SHUT_WR)


def _close(writer: asyncio.StreamWriter) -> None:
    """Closes the connection; bytes that were not read reset it."""
    writer.transport.abort()


_ENDS: dict[str, End] = {
    "reset": scripted_servers.reset,
    "close": _close,
    "orderly close": _close_orderly,
}


class EarlyResponseTest(forwarding.ForwardingTestCase):
    """Guards against a part of a response that is delivered as the whole.

    A server in trouble answered a long upload at once, without a length, and
    broke the connection off while the upload was being written.
    """

    def use_route(self, kind: model.RequestKind) -> None:
        """Configures a route of one kind of requests."""
        route = forwarding.build_route(
            kind=kind, resumable=kind is model.RequestKind.STREAM
        )
        self.forwarder.policy = forwarding.build_policy(route)

    async def start_broken_server(
        self, first: bytes, end: End, **headers: str
    ) -> None:
        """Starts a server that breaks off its response to an upload."""

        async def run(request, writer) -> None:
            scripted_servers.write_start(request, writer, **headers)
            if "Transfer_Encoding" in headers:
                scripted_servers.write_chunk(writer, first)
            else:
                writer.write(first)
            await writer.drain()
            await asyncio.sleep(_ARRIVAL_S)
            end(writer)
            await asyncio.sleep(_ARRIVAL_S)

        await self.start_server("broken", run, reads_bodies=False)

    async def upload(self) -> forwarding.ClientResponse:
        """Sends a long request and returns its response."""
        return await self.fetch(_PLAIN_PATH, body=_UPLOAD)

    async def stop_servers(self) -> None:
        """Removes all servers."""
        for started in self.servers.values():
            await started.stop()
        self.servers.clear()
        self._listed_servers.clear()

    async def test_part_of_a_plain_response_is_not_delivered(self) -> None:
        self.use_route(model.RequestKind.NON_IDEMPOTENT)
        for framing, headers in _FRAMINGS.items():
            for name, end in _ENDS.items():
                with self.subTest(framing, end=name):
                    await self.start_broken_server(_PART, end, **headers)
                    response = await self.upload()
                    self.assertEqual(response.status, 502)
                    self.assertNotIn("Runner-Seal", response.headers)
                    await self.stop_servers()

    async def test_upload_that_may_be_repeated_gets_a_whole_response(
        self,
    ) -> None:
        self.use_route(model.RequestKind.IDEMPOTENT)
        for framing, headers in _FRAMINGS.items():
            with self.subTest(framing):
                await self.start_broken_server(_PART, _close_orderly, **headers)
                response, _ = await asyncio.gather(
                    self.upload(), self.start_sound_server_later()
                )
                self.assertEqual(response.status, 200)
                self.assertEqual(response.body, b"done")
                await self.stop_servers()

    async def start_sound_server_later(self) -> None:
        """Starts a sound server once the broken one has the request."""
        while not self.servers["broken"].received:
            await asyncio.sleep(_ARRIVAL_S / 10)
        await self.start_server("sound", scripted_servers.respond())

    async def test_stream_goes_on_where_it_was_broken_off(self) -> None:
        self.use_route(model.RequestKind.STREAM)
        for framing, headers in _FRAMINGS.items():
            for name, end in _ENDS.items():
                with self.subTest(framing, end=name):
                    await self.check_stream(end, headers)
                    await self.stop_servers()

    async def check_stream(self, end: End, headers: dict[str, str]) -> None:
        """Checks that a stream is complete after its server broke it off."""
        await self.start_broken_server(
            b"id: 1\ndata: piece\n\n",
            end,
            Content_Type="text/event-stream",
            **headers,
        )

        async def resume(request, writer) -> None:
            scripted_servers.write_stream_start(request, writer)
            first = int(request.headers.get("Last-Event-Id", "0")) + 1
            for number in range(first, _EVENTS + 1):
                scripted_servers.write_event(writer, number)
            scripted_servers.write_chunk(writer, b"")
            await writer.drain()

        async def start_other() -> None:
            while not self.servers["broken"].received:
                await asyncio.sleep(_ARRIVAL_S / 10)
            await self.start_server("other", resume)

        response, _ = await asyncio.gather(self.upload(), start_other())
        self.assertTrue(response.is_complete)
        for number in range(1, _EVENTS + 1):
            self.assertEqual(response.body.count(b"id: %d\n" % number), 1)

    async def test_response_after_the_whole_upload_is_delivered(self) -> None:
        """A response without a length ends with its connection."""
        self.use_route(model.RequestKind.NON_IDEMPOTENT)

        async def run(request, writer) -> None:
            scripted_servers.write_start(request, writer)
            writer.write(_PART)
            await writer.drain()

        await self.start_server("a", run)
        response = await self.upload()
        self.assertEqual((response.status, response.body), (200, _PART))
        self.assertEqual(self.servers["a"].received[0].body, _UPLOAD)


class InvalidStatusTest(forwarding.ForwardingTestCase):
    """Guards against responses whose status is none, delivered as responses."""

    async def test_invalid_status_is_no_response(self) -> None:
        for kind in (
            model.RequestKind.NON_IDEMPOTENT,
            model.RequestKind.STREAM,
        ):
            for status in ("000 Trouble", "099 Odd", "600 Odd", "999 Odd"):
                for framing, headers in _FRAMINGS.items():
                    with self.subTest(kind.value, status=status, body=framing):
                        await self.check_status(kind, status, headers)

    async def check_status(
        self, kind: model.RequestKind, status: str, headers: dict[str, str]
    ) -> None:
        """Checks that a response with a status ends at once as lost."""
        self.forwarder.policy = forwarding.build_policy(
            forwarding.build_route(kind=kind, resumable=False, max_attempts=1)
        )

        async def run(request, writer) -> None:
            scripted_servers.write_start(
                request, writer, status=status, **headers
            )
            await writer.drain()
            # The body never ends.
            await asyncio.Event().wait()

        scripted = await self.start_server("a", run)
        started_s = self.loop.time()
        response = await self.fetch()
        self.assertEqual(response.status, 502)
        self.assertNotIn("Runner-Seal", response.headers)
        self.assertLess(self.loop.time() - started_s, 5.0)
        await scripted.stop()
        self._listed_servers.clear()
