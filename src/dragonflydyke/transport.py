"""Name resolution, and detection of requests that were not sent."""

import errno
import ipaddress
import socket
from typing import Any

from tornado import iostream, netutil, simple_httpclient, tcpclient

# ECONNRESET, EPIPE and ETIMEDOUT are not listed because they also occur after a
# request was sent.
_CONNECT_ERRNOS = frozenset(
    (
        errno.ECONNREFUSED,
        errno.EHOSTUNREACH,
        errno.ENETUNREACH,
        errno.EADDRNOTAVAIL,
    )
)

# Seconds from the last received byte to the first probe, and between probes.
_PROBE_INTERVAL_S = 1


def was_not_sent(error: Exception) -> bool:
    """Returns whether an HTTP request cannot have reached the server.

    Args:
        error: Exception that tornado's HTTP client raised.
    """
    if isinstance(error, simple_httpclient.HTTPTimeoutError):
        return "connecting" in str(error)
    if isinstance(error, socket.gaierror):
        return True
    return isinstance(error, OSError) and error.errno in _CONNECT_ERRNOS


class AddressResolver(netutil.DefaultLoopResolver):
    """Resolves host names in a worker thread and IP addresses without one.

    The platform and the backend servers are mostly configured by IP address,
    and the base class would use a thread for these too.
    """

    async def resolve(
        self,
        host: str,
        port: int,
        family: socket.AddressFamily = socket.AF_UNSPEC,
    ) -> list[tuple[int, Any]]:
        """Returns pairs of address family and socket address."""
        try:
            version = ipaddress.ip_address(host).version
        except ValueError:
            return await super().resolve(host, port, family)
        if version == 4:
            return [(socket.AF_INET, (host, port))]
        return [(socket.AF_INET6, (host, port, 0, 0))]


class ProbingTCPClient(tcpclient.TCPClient):
    """Opens connections that the kernel closes when the peer goes silent.

    A connection can stop working without a reset, for example when a gateway
    drops its state. Only unanswered probes show that while nothing is sent.
    """

    def __init__(self, max_silence_s: float) -> None:
        """Creates a client.

        Args:
            max_silence_s: Seconds after which a silent connection is closed, at
                least 2; probes are sent once a second.
        """
        super().__init__(resolver=AddressResolver())
        self._probe_count = max(1, int(max_silence_s) - _PROBE_INTERVAL_S)

    async def connect(self, *args: Any, **options: Any) -> iostream.IOStream:
        """Opens a connection; see `tcpclient.TCPClient.connect`."""
        stream = await super().connect(*args, **options)
        for option, value in (
            (socket.TCP_KEEPIDLE, _PROBE_INTERVAL_S),
            (socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S),
            (socket.TCP_KEEPCNT, self._probe_count),
        ):
            stream.socket.setsockopt(socket.IPPROTO_TCP, option, value)
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        return stream
