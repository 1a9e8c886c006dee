"""A hash that has the same value in every process."""

from __future__ import annotations

from hashlib import blake2b


def stable_hash(text: str) -> int:
    """Return a 64-bit hash of a text that has the same value in every process."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")
