"""Measures how much memory a block of code leaves allocated."""

import contextlib
import gc
import tracemalloc
from collections.abc import Iterator


class MemoryGrowth:
    """Result of `measure`.

    Attributes:
        size_bytes: Memory allocated in the block and not freed at its end.
    """

    __slots__ = ("size_bytes",)

    def __init__(self) -> None:
        self.size_bytes = 0


@contextlib.contextmanager
def measure() -> Iterator[MemoryGrowth]:
    """Measures the block; the result is set at its end."""
    growth = MemoryGrowth()
    tracemalloc.start()
    try:
        yield growth
        gc.collect()
        growth.size_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
