"""Name resolution, and detection of requests that were not sent."""

import errno
import ipaddress
import socket
from typing import Any

from tornado import netutil, simple_httpclient

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
