"""Tests of the limits on clients, within one process."""

import asyncio
import contextlib
import random
import types
import unittest

import hypothesis
from hypothesis import strategies
from tornado import httputil

from dragonflydyke import settings
from dragonflydyke.forwarding import (
    chunk_pacing,
    client_memory,
    model,
    server,
)
from dragonflydyke.platform import headers
from tests.builders import forwarding, scripted_servers, skipping_loop

_LIMITS = model.ClientLimits(16_384, 100_000, 3.0, 15.0)
_CHUNKED = {"Transfer_Encoding": "chunked"}
_TIMEOUT_S = 10.0
# More than the kernel holds of a connection.
_LARGE_BYTES = 12_000_000


async def _respond(request, writer) -> None:
    scripted_servers.write_response(request, writer, b"ok")
    await writer.drain()


class ClientLimitsTest(forwarding.ForwardingTestCase):
    """Guards against limits that apply too late or to proper clients."""

    async def asyncSetUp(self) -> None:
        """Starts a plain server and puts the limits in force."""
        await super().asyncSetUp()
        self.forwarder.policy = model.ForwardingPolicy(
            1,
            (forwarding.build_plain_route(),),
            (model.Pool("plain"),),
            (model.Account("acme", (forwarding.KEY,)),),
            _LIMITS,
        )
        self.plain = await self.start_server("a", _respond, pool="plain")

    async def read(self, reader: asyncio.StreamReader):
        """Reads a response; the test fails if there is none."""
        async with asyncio.timeout(_TIMEOUT_S):
            return await forwarding.read_response(reader)

    async def start_body(self, *pieces: bytes):
        """Sends a request with chunks and without the end of its body."""
        reader, writer = await self.connect()
        fields = (
            f"POST /streams/1 HTTP/1.1\r\nHost: {forwarding.HOST}\r\n"
            f"Attempt-Id: r1\r\nAuthorization: Token {forwarding.KEY}\r\n"
            "Deadline-Ms: 90000\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(fields.encode())
        for piece in pieces:
            scripted_servers.write_chunk(writer, piece)
        return reader, writer

    async def wait_held(self, size: int) -> None:
        """Waits until the node holds more than a number of bytes."""
        account = self.server.client_memory
        await skipping_loop.wait_until(lambda: account.used_bytes > size)

    async def test_too_large_requests_do_not_run(self) -> None:
        """They were read to their end and held until then."""
        reader, _ = await self.send(body=b"", Content_Length="100001")
        self.assertEqual((await self.read(reader)).status, 413)
        reader, _ = await self.send(body=b"", Content_Length="9" * 5_000)
        self.assertEqual((await self.read(reader)).status, 413)
        reader, _ = await self.start_body(*[b"x" * 30_000] * 4)
        self.assertEqual((await self.read(reader)).status, 413)
        reader, _ = await self.send(X="y" * 20_000)
        self.assertEqual((await self.read(reader)).status, 431)
        reader, _ = await self.send(X="y" * 100_000)
        with self.assertRaises((asyncio.IncompleteReadError, ConnectionError)):
            await self.read(reader)
        self.assertEqual(self.count_received(), 0)

    async def test_requests_at_the_limit_are_read_whole(self) -> None:
        sent = random.Random(1).randbytes(100_000)
        reader, _ = await self.send(body=sent, X="y" * 15_000)
        self.assertEqual((await self.read(reader)).status, 200)
        self.assertEqual(self.plain.received[-1].body, sent)
        for size in (1, 7, 700, 30_000):
            with self.subTest(chunk=size):
                sent = random.Random(size).randbytes(min(100_000, size * 900))
                cuts = range(0, len(sent), size)
                reader, writer = await self.start_body(
                    *(sent[n : n + size] for n in cuts)
                )
                scripted_servers.write_chunk(writer, b"")
                self.assertEqual((await self.read(reader)).status, 200)
                self.assertEqual(self.plain.received[-1].body, sent)
        await skipping_loop.wait_until(
            lambda: (
                self.server.client_memory.used_bytes
                <= 5 * client_memory.CONNECTION_BYTES
            )
        )

    async def test_closed_connections_hold_nothing(self) -> None:
        """The account would be full after some time."""
        for number in range(3):
            reader, writer = await self.send(Connection="close")
            self.assertEqual((await self.read(reader)).status, 200)
            reader, writer = await self.send()
            await skipping_loop.wait_until(
                lambda n=number: self.count_received() == 2 * n + 2
            )
            writer.close()
        account = self.server.client_memory
        async with asyncio.timeout(_TIMEOUT_S):
            await skipping_loop.wait_until(lambda: not account.used_bytes)

    async def test_connections_are_reused_until_the_idle_timeout(self) -> None:
        reader, writer = await self.send()
        self.assertEqual((await self.read(reader)).status, 200)
        await self.pass_time(0.8 * _LIMITS.idle_timeout_s, 0.002)
        head = f"GET /streams/1 HTTP/1.1\r\nHost: {forwarding.HOST}\r\n"
        head += f"Attempt-Id: r2\r\nAuthorization: Token {forwarding.KEY}\r\n"
        writer.write(f"{head}\r\n".encode())
        self.assertEqual((await self.read(reader)).status, 200)
        await self.pass_time(_LIMITS.idle_timeout_s + 3.0, 0.002)
        self.assertEqual(await reader.read(), b"")

    async def test_head_that_takes_too_long_is_rejected(self) -> None:
        reader, writer = await self.connect()
        writer.write(b"POST / HTTP/1.1\r\n")
        await self.wait_held(0)
        await self.pass_time(_LIMITS.header_timeout_s + 2.0, 0.002)
        self.assertEqual((await self.read(reader)).status, 408)

    async def test_time_of_a_suspension_is_not_counted(self) -> None:
        """A node that wakes would reject what its clients have sent."""
        reader, writer = await self.start_body(b"x" * 20_000)
        await self.wait_held(20_000)
        await asyncio.sleep(1.0)
        self.loop.skip(50.0)
        await asyncio.sleep(1.0)
        scripted_servers.write_chunk(writer, b"")
        self.assertEqual((await self.read(reader)).status, 200)

    async def test_body_needs_progress_and_no_more(self) -> None:
        slow_reader, slow_writer = await self.start_body()
        dripping_reader, dripping_writer = await self.start_body(b"x" * 90_000)
        for _ in range(5):
            await self.pass_time(10.0, 0.001)
            scripted_servers.write_chunk(dripping_writer, b"x")
            # A link of 16 kbit/s.
            scripted_servers.write_chunk(slow_writer, b"y" * 18_000)
        self.assertEqual((await self.read(dripping_reader)).status, 408)
        scripted_servers.write_chunk(slow_writer, b"")
        self.assertEqual((await self.read(slow_reader)).status, 200)

    async def test_full_account_rejects_the_body_without_progress(self) -> None:
        """Ordinary callers were refused, or the process ended."""
        account = self.server.client_memory
        account.budget_bytes = 350_000
        stalled, _ = await self.start_body(b"x" * 99_000)
        await self.wait_held(99_000)
        next_stalled, _ = await self.start_body(b"x" * 99_000)
        await self.wait_held(2 * 99_000)
        reader, _ = await self.send(body=b"z" * 99_000)
        self.assertEqual((await self.read(reader)).status, 200)
        response = await self.read(stalled)
        self.assertEqual(response.status, 503)
        self.assertIn("Retry-After", response.headers)
        self.assertEqual(response.headers["Attempt-Id"], "r1")
        self.assertFalse(next_stalled.at_eof())
        self.assertEqual(self.count_received(), 1)

    async def test_request_at_a_server_does_not_give_way(self) -> None:
        may_respond = asyncio.Event()

        async def run(request, writer) -> None:
            await may_respond.wait()
            await _respond(request, writer)

        self.plain.script = run
        self.server.client_memory.budget_bytes = 350_000
        running = [(await self.send(body=b"x" * 90_000))[0] for _ in range(2)]
        await skipping_loop.wait_until(lambda: self.count_received() == 2)
        reader, _ = await self.send(body=b"z" * 90_000)
        self.assertEqual((await self.read(reader)).status, 503)
        small, _ = await self.send(body=b"small")
        await skipping_loop.wait_until(lambda: self.count_received() == 3)
        may_respond.set()
        for waiting in (*running, small):
            self.assertEqual((await self.read(waiting)).status, 200)

    async def start_stream(self):
        """Starts a stream whose client does not read at first."""
        self.forwarder.policy = forwarding.build_policy()
        sent = 0

        async def run(request, writer) -> None:
            nonlocal sent
            scripted_servers.write_stream_start(request, writer)
            event = b"data: " + b"y" * 60_000 + b"\n\n"
            while sent < _LARGE_BYTES:
                scripted_servers.write_chunk(writer, event)
                await writer.drain()
                sent += len(event)
            scripted_servers.write_chunk(writer, b"")
            await writer.drain()

        await self.start_server("e", run)
        reader, writer = await self.send(Deadline_Ms="90000")
        writer.transport.pause_reading()
        await skipping_loop.wait_until(lambda: sent > 100_000)
        await asyncio.sleep(0.5)
        return reader, writer

    async def test_client_that_does_not_read_loses_its_server(self) -> None:
        """It would keep a place at an engine until its deadline."""
        await self.start_stream()
        await self.pass_time(8.0, 0.02)
        self.assertEqual(self.counters.total("request.client_gone"), 1)

    async def test_client_that_reads_late_gets_its_stream(self) -> None:
        reader, writer = await self.start_stream()
        await self.pass_time(2.0, 0.02)
        writer.transport.resume_reading()
        response = await self.read(reader)
        self.assertTrue(response.is_complete)
        self.assertGreaterEqual(len(response.body), _LARGE_BYTES)


class AccountTest(unittest.TestCase):
    """Guards against an account that gives up the wrong holder."""

    def test_sizes_follow_from_the_machine(self) -> None:
        smallest = client_memory.find_budget_bytes(150_000_000)
        self.assertEqual(smallest, 50_666_666)
        self.assertEqual(
            client_memory.find_max_connections(1_638, smallest), 703
        )
        # A machine that is too small still serves single requests.
        self.assertEqual(client_memory.find_budget_bytes(1), 8_000_000)
        self.assertEqual(client_memory.find_max_connections(1, 8_000_000), 1)

    def test_holder_without_progress_for_longest_gives_way(self) -> None:
        account = client_memory.ClientMemory(270_000)
        evicted = []
        holders = []
        for number in range(4):
            holder = client_memory.Holding(
                account, lambda n=number: release(n), 0.0
            )
            holders.append(holder)

        def release(number: int) -> None:
            evicted.append(number)
            holders[number].reset()

        for holder in holders[:3]:
            holder.start_transfer(1.0, is_unread=False)
            self.assertTrue(holder.add(20_000, 1.0))
        # Single bytes are no progress, in contrast to a large part.
        holders[0].record_transfer(client_memory.PROGRESS_BYTES, 2.0)
        holders[1].record_transfer(1, 3.0)
        holders[2].end_transfer()
        self.assertTrue(holders[3].add(60_000, 4.0))
        self.assertEqual(evicted, [1])
        holders[0].start_transfer(4.0, is_unread=True)
        self.assertFalse(holders[3].add(20_000, 5.0))
        self.assertTrue(holders[3].add(20_000, 9.5))
        self.assertEqual(evicted, [1, 0])
        self.assertEqual(account.peak_bytes, 198_304)


class ChunkPacingTest(unittest.TestCase):
    """Guards against tiny chunks that occupy the whole process."""

    def test_many_tiny_chunks_leave_time_to_others(self) -> None:
        schedule = chunk_pacing.PieceSchedule()
        bodies = [chunk_pacing.ChunkedBody() for _ in range(60)]
        waits = []
        for round_number in range(1, 20):
            size = round_number * chunk_pacing.SMALL_PIECE_BYTES
            for body in bodies:
                body.record_piece(6 * size, size)
                waits.append(schedule.find_wait_s(body, 0.0))
        self.assertTrue(all(body.is_tiny for body in bodies))
        # A piece takes 3 ms on the smallest processor.
        self.assertGreater(waits[-1], 5 * 0.003 * len(waits))

    def test_ordinary_bodies_do_not_wait_for_tiny_chunks(self) -> None:
        """Short chunked bodies beside 60 such clients took over ten seconds."""
        schedule = chunk_pacing.PieceSchedule()
        for round_number in range(1, 20):
            size = round_number * chunk_pacing.SMALL_PIECE_BYTES
            for body in [chunk_pacing.ChunkedBody() for _ in range(60)]:
                body.record_piece(6 * size + 1_024, size)
                schedule.find_wait_s(body, 0.0)
        body = chunk_pacing.ChunkedBody()
        wait_s = 0.0
        for size in range(64, 320, 64):
            body.record_piece(size + 8, size)
            wait_s += schedule.find_wait_s(body, 0.0)
        self.assertLess(wait_s, 0.1)

    def test_large_chunks_do_not_wait(self) -> None:
        schedule = chunk_pacing.PieceSchedule()
        body = chunk_pacing.ChunkedBody()
        for size in range(64, 640, 64):
            body.record_piece(size + 8, size)
            self.assertEqual(schedule.find_wait_s(body, 0.0), 0.0)
        self.assertEqual(body.piece_bytes, chunk_pacing.LARGE_PIECE_BYTES)
        body.record_read(640 + 20_000)
        self.assertTrue(body.is_tiny)


class _RecordingForwarder:
    """Records requests and answers them."""

    def __init__(self) -> None:
        self.policy = types.SimpleNamespace(
            limits=_LIMITS, find_account=lambda key: None
        )
        self.bodies: list[bytes] = []

    async def forward(self, request, writer) -> None:
        """Responds to a request."""
        self.bodies.append(request.body)
        writer.send_response(200, httputil.HTTPHeaders(), (b"ok",))


async def _play(
    data: bytes, cuts: list[int], *, ends: bool
) -> tuple[list[bytes], bytes]:
    """Sends data in pieces; returns the bodies read and the response.

    Args:
        data: What to send.
        cuts: Where to cut it.
        ends: Whether the client closes its side before it reads.
    """
    forwarder = _RecordingForwarder()
    node = server.ForwardingServer(forwarder, headers.HeaderCodec())
    port = node.listen(settings.Address("127.0.0.1", 0))
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            edges = [0, *sorted(cut % (len(data) + 1) for cut in cuts)]
            for start, end in zip(edges, [*edges[1:], len(data)], strict=True):
                writer.write(data[start:end])
                await asyncio.sleep(0)
            if ends:
                # The node may have closed the connection already.
                with contextlib.suppress(OSError):
                    writer.write_eof()
                received = await reader.read()
            else:
                received = await reader.readuntil(b"\r\n\r\nok")
    except ConnectionError:
        received = b""
    finally:
        writer.close()
        await node.stop()
    if node.client_memory.used_bytes:
        raise AssertionError("memory of a closed connection is held")
    return forwarder.bodies, received


_FRAGMENTS = strategies.sampled_from(
    [
        b"POST /a HTTP/1.1\r\n",
        b"GET / HTTP/1.1\r\n\r\n",
        b"Content-Length: 5\r\n",
        b"Content-Length: 99999999999999999999\r\n",
        b"Content-Length: -1\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Expect: 100-continue\r\n",
        b"Deadline-Ms: x\r\n",
        b"\r\n",
        b"5\r\nhello\r\n",
        b"0\r\n\r\n",
        b"fffffff\r\n",
        b"-1\r\n",
    ]
)
_FUZZ = hypothesis.settings(
    deadline=None,
    derandomize=True,
    max_examples=150,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
_CUTS = strategies.lists(strategies.integers(0, 10_000), max_size=12)


class RequestReaderFuzzTest(unittest.TestCase):
    """Guards against bytes that hang or crash the reader of requests."""

    @_FUZZ
    @hypothesis.given(
        strategies.lists(_FRAGMENTS | strategies.binary(max_size=40)), _CUTS
    )
    def test_any_bytes_end(self, parts: list[bytes], cuts: list[int]) -> None:
        asyncio.run(_play(b"".join(parts), cuts, ends=True))

    @_FUZZ
    @hypothesis.given(
        strategies.binary(max_size=3_000),
        strategies.lists(strategies.integers(1, 700), max_size=20),
        _CUTS,
    )
    def test_valid_request_is_read_whole(
        self, body: bytes, sizes: list[int], cuts: list[int]
    ) -> None:
        head = b"POST /a HTTP/1.1\r\nHost: x\r\nAttempt-Id: r\r\n"
        if sizes:
            data = head + b"Transfer-Encoding: chunked\r\n\r\n"
            rest = body
            for size in [*sizes, len(body) + 1]:
                piece, rest = rest[:size], rest[size:]
                if piece:
                    data += b"%x\r\n%s\r\n" % (len(piece), piece)
            data += b"0\r\n\r\n"
        else:
            data = head + b"Content-Length: %d\r\n\r\n" % len(body) + body
        bodies, received = asyncio.run(_play(data, cuts, ends=False))
        self.assertEqual(bodies, [body])
        self.assertIn(b" 200 ", received)
