"""Prefix cache of an emulated engine."""

import collections
import hashlib

from dragonflydyke.emulator import engine_model

BLOCK_TOKENS = 16
_BLOCK_CHARACTERS = BLOCK_TOKENS * engine_model.CHARACTERS_PER_TOKEN


class PrefixCache:
    """Remembers which prompt prefixes were computed, least recent out first.

    A block is identified by the version and all text up to its end.
    """

    __slots__ = ("_blocks",)

    def __init__(self) -> None:
        self._blocks: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )

    def count_cached(self, prompt: engine_model.Prompt) -> int:
        """Returns how many leading tokens of a prompt are cached."""
        cached = 0
        for key in _hash_blocks(prompt):
            if key not in self._blocks:
                break
            self._blocks.move_to_end(key)
            cached += BLOCK_TOKENS
        return min(cached, prompt.tokens)

    def add(self, prompt: engine_model.Prompt, capacity: int) -> None:
        """Adds the blocks of a prompt and evicts down to the capacity."""
        for key in _hash_blocks(prompt):
            self._blocks[key] = None
            self._blocks.move_to_end(key)
        while len(self._blocks) > capacity:
            self._blocks.popitem(last=False)

    def drop_all(self) -> None:
        """Forgets everything."""
        self._blocks.clear()

    def __len__(self) -> int:
        return len(self._blocks)


def _hash_blocks(prompt: engine_model.Prompt) -> list[bytes]:
    state = hashlib.blake2b(prompt.version.encode(), digest_size=16)
    keys = []
    whole = len(prompt.text) // _BLOCK_CHARACTERS * _BLOCK_CHARACTERS
    for start in range(0, whole, _BLOCK_CHARACTERS):
        state.update(prompt.text[start : start + _BLOCK_CHARACTERS].encode())
        keys.append(state.digest())
    return keys
