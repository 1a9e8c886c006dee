"""Choice of the members to which a new version is announced immediately.

Two neighbours on a ring and a few random members, as in RINGCAST (S. Voulgaris and
M. van Steen, Hybrid Dissemination: Adding Determinism to Probabilistic Multicasting in
Large-Scale P2P Systems). The ring reaches every live member between two dead ones, the
random members make the broadcast fast. docs/design/configuration.md has the figures.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

RANDOM_TARGET_COUNT = 2


def broadcast_targets(
    *,
    own_name: str,
    members: Sequence[str],
    random: Random,
    random_target_count: int = RANDOM_TARGET_COUNT,
) -> list[str]:
    """Choose the members to which a new version is announced.

    Parameters
    ----------
    own_name : str
        Name of this VM.
    members : sequence of str
        All members, sorted, this VM included.
    random : Random
        Source of the random members.
    random_target_count : int
        Number of random members besides the two neighbours.

    Returns
    -------
    list of str
        Distinct members other than ``own_name``.
    """
    count = len(members)
    if count < 2:
        return []
    index = members.index(own_name)
    targets = {members[(index + 1) % count], members[(index - 1) % count]}
    for _ in range(random_target_count):
        targets.add(members[random.randrange(count)])
    targets.discard(own_name)
    return sorted(targets)
