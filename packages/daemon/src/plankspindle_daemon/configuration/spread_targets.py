"""Choice of the members that are told of a new version at once.

Two neighbours on a ring and a few random members, as in RINGCAST (S. Voulgaris and
M. van Steen, Hybrid Dissemination: Adding Determinism to Probabilistic Multicasting in
Large-Scale P2P Systems). The ring reaches every live member between two dead ones, the
random members make it fast. docs/design/configuration.md has the figures.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

RANDOM_TARGETS = 2


def spread_targets(
    *,
    me: str,
    members: Sequence[str],
    random: Random,
    random_targets: int = RANDOM_TARGETS,
) -> list[str]:
    """Choose whom to tell of a new version.

    Parameters
    ----------
    me : str
        Name of this VM.
    members : sequence of str
        All members, sorted, this VM included.
    random : Random
        Source of the random members.
    random_targets : int
        Random members besides the two neighbours.

    Returns
    -------
    list of str
        Distinct members other than ``me``.
    """
    count = len(members)
    if count < 2:
        return []
    place = members.index(me)
    targets = {members[(place + 1) % count], members[(place - 1) % count]}
    for _ in range(random_targets):
        targets.add(members[random.randrange(count)])
    targets.discard(me)
    return sorted(targets)
