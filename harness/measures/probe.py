"""Snapshots of a process's resource usage, written by the process itself.

On SIGUSR1 the process appends a JSON line to a file, with its processor time,
resident memory and socket traffic since the start. The sockets of gRPC belong
to native code, so their traffic is read from the kernel (TCP_INFO).
"""

import asyncio
import dataclasses
import json
import os
import pathlib
import signal
import socket
import struct
import time
from collections.abc import Callable, Mapping

from tornado import iostream

_TCP_ESTABLISHED = 1
_TCP_INFO_BYTES = 144
# Offset and struct format of tcpi_bytes_acked, tcpi_bytes_received,
# tcpi_segs_out and tcpi_segs_in in struct tcp_info.
_BYTES_OFFSET = 120
_BYTES_FORMAT = "=QQII"
# IP and TCP headers with TCP timestamps; link-layer headers are not counted.
_SEGMENT_HEADER_BYTES = 52
# Segments to open a connection, send one request and response, and close it.
_SEGMENTS_PER_CONNECTION = 10


@dataclasses.dataclass(slots=True)
class Snapshot:
    """Resource usage of one process since its start.

    Attributes:
        at_s: Monotonic time in seconds; all processes of a machine share this
            clock.
        processor_s: User and system processor time in seconds.
        resident_bytes: Resident memory including shared pages.
        private_bytes: Resident anonymous memory, which is not shared.
        traffic_bytes: Bytes sent and received, including estimated TCP/IP
            headers.
        threads: Number of threads.
        counts: Counters of the program by name.
    """

    at_s: float
    processor_s: float
    resident_bytes: int
    private_bytes: int
    traffic_bytes: int
    threads: int
    counts: Mapping[str, int] = dataclasses.field(default_factory=dict)


class _StreamMeter:
    """Counts the traffic of Tornado's sockets by patching IOStream."""

    __slots__ = ("closed_connections", "transferred_bytes")

    def __init__(self) -> None:
        self.transferred_bytes = 0
        self.closed_connections = 0

    def install(self) -> None:
        write = iostream.IOStream.write_to_fd
        read = iostream.IOStream.read_from_fd
        close = iostream.IOStream.close_fd

        def write_to_fd(stream: iostream.IOStream, data: memoryview) -> int:
            sent = write(stream, data)
            self.transferred_bytes += sent
            return sent

        def read_from_fd(
            stream: iostream.IOStream, buffer: bytearray | memoryview
        ) -> int | None:
            received = read(stream, buffer)
            self.transferred_bytes += received or 0
            return received

        def close_fd(stream: iostream.IOStream) -> None:
            self.closed_connections += 1
            close(stream)

        iostream.IOStream.write_to_fd = write_to_fd
        iostream.IOStream.read_from_fd = read_from_fd
        iostream.IOStream.close_fd = close_fd

    def total_bytes(self) -> int:
        header_bytes = _SEGMENTS_PER_CONNECTION * _SEGMENT_HEADER_BYTES
        return self.transferred_bytes + self.closed_connections * header_bytes


def _count_open_socket_bytes() -> int:
    """Returns the traffic in bytes of the TCP sockets that are open now."""
    total_bytes = 0
    for entry in os.listdir("/proc/self/fd"):
        try:
            if not os.readlink(f"/proc/self/fd/{entry}").startswith("socket:"):
                continue
            with socket.socket(fileno=os.dup(int(entry))) as duplicate:
                total_bytes += _count_socket_bytes(duplicate)
        except OSError:
            continue
    return total_bytes


def _count_socket_bytes(duplicate: socket.socket) -> int:
    if (
        duplicate.type != socket.SOCK_STREAM
        or duplicate.family == socket.AF_UNIX
    ):
        return 0
    info = duplicate.getsockopt(
        socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES
    )
    if len(info) < _TCP_INFO_BYTES or info[0] != _TCP_ESTABLISHED:
        return 0
    sent_bytes, received_bytes, sent_segments, received_segments = (
        struct.unpack_from(_BYTES_FORMAT, info, _BYTES_OFFSET)
    )
    return (
        sent_bytes
        + received_bytes
        + (sent_segments + received_segments) * _SEGMENT_HEADER_BYTES
    )


def _read_status() -> dict[str, int]:
    fields = {}
    for line in pathlib.Path("/proc/self/status").read_text().splitlines():
        name, _, rest = line.partition(":")
        words = rest.split()
        if words and words[0].isdigit():
            fields[name] = int(words[0])
    return fields


def install(
    path: pathlib.Path,
    read_counts: Callable[[], Mapping[str, int]] = dict,
) -> None:
    """Makes this process append a snapshot to a file at each SIGUSR1.

    Must be called while an asyncio event loop is running.

    Args:
        path: File that the snapshots are appended to.
        read_counts: Returns the counters to include in a snapshot.
    """
    meter = _StreamMeter()
    meter.install()

    def write() -> None:
        processor_s = time.process_time()
        status = _read_status()
        snapshot = Snapshot(
            at_s=time.monotonic(),
            processor_s=processor_s,
            resident_bytes=status["VmRSS"] * 1024,
            private_bytes=status["RssAnon"] * 1024,
            traffic_bytes=meter.total_bytes() + _count_open_socket_bytes(),
            threads=status["Threads"],
            counts=dict(read_counts()),
        )
        append_record(path, {"snapshot": dataclasses.asdict(snapshot)})

    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, write)


def append_record(path: pathlib.Path, content: Mapping[str, object]) -> None:
    """Appends a JSON line to a file."""
    with path.open("a") as output:
        output.write(json.dumps(content) + "\n")


def read_records(path: pathlib.Path) -> list[dict[str, object]]:
    """Returns the JSON lines of a file.

    An incomplete last line, which is still being written, is skipped. A
    missing file has no lines.
    """
    if not path.exists():
        return []
    lines = path.read_text().split("\n")[:-1]
    return [json.loads(line) for line in lines]


def read_snapshots(path: pathlib.Path) -> list[Snapshot]:
    """Returns the snapshots in a file, oldest first."""
    return [
        Snapshot(**line["snapshot"])  # type: ignore[arg-type]
        for line in read_records(path)
        if "snapshot" in line
    ]
