"""Prefix cache of an emulated engine."""

import collections
import hashlib

from dragonflydyke.emulator import engine_model

BLOCK_TOKENS = 16
_BLOCK_CHARACTERS = BLOCK_TOKENS * engine_model.CHARACTERS_PER_TOKEN


class PrefixCache:
    """LRU cache of the prompt prefixes that were prefilled.

    The key of a block is a hash of the version and of all text up to the end
    of the block.
    """

    __slots__ = ("_blocks",)

    def __init__(self) -> None:
        self._blocks: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )

    def count_cached_tokens(self, request: engine_model.ChatRequest) -> int:
        """Returns the number of leading prompt tokens that are cached."""
        cached = 0
        for key in _hash_blocks(request):
            if key not in self._blocks:
                break
            self._blocks.move_to_end(key)
            cached += BLOCK_TOKENS
        return min(cached, request.prompt_tokens)

    def add(self, request: engine_model.ChatRequest, capacity: int) -> None:
        """Adds the blocks of a prompt and evicts blocks above the capacity."""
        for key in _hash_blocks(request):
            self._blocks[key] = None
            self._blocks.move_to_end(key)
        while len(self._blocks) > capacity:
            self._blocks.popitem(last=False)

    def clear(self) -> None:
        """Removes all blocks."""
        self._blocks.clear()

    def __len__(self) -> int:
        return len(self._blocks)


def _hash_blocks(request: engine_model.ChatRequest) -> list[bytes]:
    hasher = hashlib.blake2b(request.version.encode(), digest_size=16)
    keys = []
    full_blocks_end = len(request.text) // _BLOCK_CHARACTERS * _BLOCK_CHARACTERS
    for start in range(0, full_blocks_end, _BLOCK_CHARACTERS):
        hasher.update(request.text[start : start + _BLOCK_CHARACTERS].encode())
        keys.append(hasher.digest())
    return keys
