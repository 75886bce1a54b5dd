"""Hashes of bearer keys."""

import hashlib


def hash_key(key: str) -> str:
    """Returns the SHA-256 of a bearer key in lower-case hexadecimal.

    Bearer keys are random and long, so a slow password hash would add latency
    to each request without making a guess feasible.
    """
    return hashlib.sha256(key.encode()).hexdigest()
