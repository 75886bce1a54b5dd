"""Measures how much memory a block of code allocates."""

import contextlib
import gc
import tracemalloc
from collections.abc import Iterator


class MemoryGrowth:
    """Result of `measure`.

    Attributes:
        size_bytes: Memory allocated in the block and not freed at its end.
        peak_bytes: Most memory that was allocated in the block at one time.
    """

    __slots__ = ("peak_bytes", "size_bytes")

    def __init__(self) -> None:
        self.peak_bytes = 0
        self.size_bytes = 0


@contextlib.contextmanager
def measure() -> Iterator[MemoryGrowth]:
    """Measures the block; the result is set at its end."""
    growth = MemoryGrowth()
    tracemalloc.start()
    try:
        yield growth
        # A test that disables the collector counts what waits for it.
        if gc.isenabled():
            gc.collect()
        growth.size_bytes, growth.peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
