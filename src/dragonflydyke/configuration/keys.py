"""Hashes of bearer keys."""

import hashlib


def hash_key(key: str) -> str:
    """Returns the SHA-256 of a bearer key in lower-case hexadecimal.

    A slow password hash would add latency to each request and is not needed:
    bearer keys are random and too long to be guessed.
    """
    return hashlib.sha256(key.encode()).hexdigest()
