"""Division of an upstream's slots among the entry VMs of a failure domain."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


def share_of(*, vm: str, members: Sequence[str], upstream: str, slots: int) -> int:
    """Return the slots of one upstream that one member may use.

    Parameters
    ----------
    vm : str
        Name of the member.
    members : sequence of str
        All members, sorted; every member must use the same ones.
    upstream : str
        Name of the upstream.
    slots : int
        Its slots.

    Returns
    -------
    int
        Share of ``vm``; the shares of all members add up to ``slots``.

    Notes
    -----
    The remainder of the division goes to consecutive members, starting at an index
    given by a hash of the upstream's name. So no member is favoured on all upstreams
    and, with more members than slots, each has a share in some of them.
    """
    count = len(members)
    base, remainder = divmod(slots, count)
    first = _stable_hash(upstream) % count
    offset = (members.index(vm) - first) % count
    return base + (1 if offset < remainder else 0)


def _stable_hash(text: str) -> int:
    return int.from_bytes(hashlib.sha256(text.encode()).digest()[:8], "big")
