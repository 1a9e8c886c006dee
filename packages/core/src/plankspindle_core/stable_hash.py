"""A hash that is the same in every process."""

from __future__ import annotations

from hashlib import blake2b


def stable_hash(text: str) -> int:
    """Hash a text to 64 bits, the same in every process."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")
