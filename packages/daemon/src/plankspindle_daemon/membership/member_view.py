"""The set of members that an entry VM counts."""

from __future__ import annotations

import hashlib

from plankspindle_core.classes import frozen


@frozen
class MemberView:
    """The members that count, computed lazily when needed after a change.

    A process that starts adds one member after another, and the view is not needed in
    between.

    Parameters
    ----------
    names : tuple of str
        Names of all members, this VM included, sorted.
    digest : int
        Digest of the names and their incarnations, 64 bits.
    """

    names: tuple[str, ...]
    digest: int

    @classmethod
    def from_identities(cls, identities: list[tuple[str, int]]) -> MemberView:
        """Compute the view from sorted names and incarnations."""
        text = "\n".join(f"{name} {number}" for name, number in identities)
        digest = hashlib.sha256(text.encode()).digest()
        return cls(
            tuple(name for name, _ in identities), int.from_bytes(digest[:8], "big")
        )
