"""Decides how chunked bodies are read, so that tiny chunks take turns; no I/O.

Designed for tens of clients that send bodies in chunks of one byte. Tornado
needs 13 to 18 microseconds for such a chunk and reads 256 of them before others
run, so that the clients would occupy the node for seconds. Each chunked body is
first read in small pieces, until its chunks prove to be large enough. Bodies
that turn out to consist of tiny chunks have turns of their own, so that others
do not wait for them. Bodies of a known length are not concerned.
"""

SMALL_PIECE_BYTES = 64
LARGE_PIECE_BYTES = 4_096
# What is read ahead of a piece, so that few bytes are received per piece.
SMALL_READ_BYTES = 256
# Received bytes for each byte of a body. Chunks of eight bytes stay below.
_MAX_FRAMING_RATIO = 2
# Exceeds what is read ahead together with the head.
_ALLOWANCE_BYTES = 1_024
# Contents after which a body is read in large pieces.
_PROVEN_BYTES = 512
# Spreads the first pieces of bodies that begin together.
_PIECE_PERIOD_S = 0.001
# A piece of tiny chunks takes about 1 ms, and 3 ms on the smallest processor.
# This leaves most of the time to other clients.
_TINY_PERIOD_S = 0.02


class PieceSchedule:
    """Turns of all chunked bodies of a node that are read in small pieces."""

    __slots__ = ("_last", "_next_s", "_next_tiny_s")

    def __init__(self) -> None:
        """Creates a schedule without turns."""
        self._next_s = 0.0
        self._next_tiny_s = 0.0
        self._last: ChunkedBody | None = None

    def find_wait_s(self, body: "ChunkedBody", now_s: float) -> float:
        """Returns the seconds until the next piece of a body may be read."""
        if body.piece_bytes > SMALL_PIECE_BYTES:
            return 0.0
        # The only such body does not wait for itself.
        is_alone = self._last is body and not body.is_tiny
        self._last = body
        if is_alone:
            return 0.0
        if body.is_tiny:
            start_s = max(now_s, self._next_tiny_s)
            self._next_tiny_s = start_s + _TINY_PERIOD_S
        else:
            start_s = max(now_s, self._next_s)
            self._next_s = start_s + _PIECE_PERIOD_S
        return start_s - now_s


class ChunkedBody:
    """How one chunked body is read.

    Attributes:
        piece_bytes: Size of the pieces in which it is passed on.
        is_tiny: Whether it consists of tiny chunks.
    """

    __slots__ = ("_piece_start", "is_tiny", "piece_bytes")

    def __init__(self) -> None:
        """Creates a body without contents."""
        self._piece_start = 0
        self.is_tiny = False
        self.piece_bytes = SMALL_PIECE_BYTES

    def record_piece(self, received: int, size: int) -> None:
        """Records a piece.

        Args:
            received: Bytes that were received for the body so far.
            size: Size of the body so far.
        """
        self._piece_start = received
        allowed = _MAX_FRAMING_RATIO * size
        if received > allowed + _ALLOWANCE_BYTES:
            self._slow_down()
        elif size >= _PROVEN_BYTES and received <= allowed and not self.is_tiny:
            self.piece_bytes = LARGE_PIECE_BYTES

    def record_read(self, received: int) -> None:
        """Records a read, which may show that the chunks became tiny."""
        allowed = _MAX_FRAMING_RATIO * self.piece_bytes + _ALLOWANCE_BYTES
        if received - self._piece_start > allowed:
            self._slow_down()

    def _slow_down(self) -> None:
        self.is_tiny = True
        self.piece_bytes = SMALL_PIECE_BYTES
