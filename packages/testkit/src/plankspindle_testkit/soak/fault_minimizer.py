"""Leaves out the faults of a soak that are not needed to break a promise."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from plankspindle_testkit.soak.soak_fault import SoakFault


def minimize_faults(
    faults: Sequence[SoakFault], violates: Callable[[tuple[SoakFault, ...]], bool]
) -> list[SoakFault]:
    """Leave out one fault after the other while the same promise breaks.

    Parameters
    ----------
    faults : sequence of SoakFault
        Faults that break it.
    violates : callable
        Plays faults and tells whether they break the same promise.

    Returns
    -------
    list of SoakFault
        Those needed. Real processes differ from run to run: one that was left out
        may have been needed for the promise to break often.
    """
    needed = list(faults)
    for fault in faults:
        fewer = [each for each in needed if each is not fault]
        if violates(tuple(fewer)):
            needed = fewer
    return needed
