"""Tells failed connections from requests whose answer was lost."""

import errno
import socket

from tornado import simple_httpclient

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
