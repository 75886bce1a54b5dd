"""Streams to backend servers that pass through another process."""

from tornado import iostream


class RelayedStream(iostream.IOStream):
    """A stream through an intermediary.

    It may end because the intermediary ends, which looks like an orderly close
    by the server. A response whose end only the close would show is therefore
    not accepted on it.
    """
