"""Name resolution, and failed connections as opposed to lost answers."""

import errno
import ipaddress
import socket
from typing import Any

from tornado import netutil, simple_httpclient

# ECONNRESET, EPIPE and ETIMEDOUT also arise after a request was sent.
_NOT_CONNECTED = frozenset(
    (
        errno.ECONNREFUSED,
        errno.EHOSTUNREACH,
        errno.ENETUNREACH,
        errno.EADDRNOTAVAIL,
    )
)


def was_not_sent(error: Exception) -> bool:
    """Returns whether an HTTP request certainly did not reach the server.

    Args:
        error: What tornado's HTTP client raised.
    """
    if isinstance(error, simple_httpclient.HTTPTimeoutError):
        return "connecting" in str(error)
    if isinstance(error, socket.gaierror):
        return True
    return isinstance(error, OSError) and error.errno in _NOT_CONNECTED


class AddressResolver(netutil.DefaultLoopResolver):
    """Resolves names in a worker thread and literal addresses at once.

    The platform and the backend servers are mostly configured by address, and
    the library would hand each of these to a thread, too.
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
