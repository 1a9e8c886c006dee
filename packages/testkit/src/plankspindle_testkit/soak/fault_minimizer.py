"""Removal of faults that a violation does not need."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from plankspindle_testkit.soak.soak_fault import SoakFault


def minimize_faults(
    faults: Sequence[SoakFault], violates: Callable[[tuple[SoakFault, ...]], bool]
) -> list[SoakFault]:
    """Leave out one fault after the other while the same guarantee is violated.

    Parameters
    ----------
    faults : sequence of SoakFault
        Faults that lead to a violation.
    violates : callable
        Runs a soak with some faults and returns whether the same guarantee is violated.

    Returns
    -------
    list of SoakFault
        The needed faults. Real processes differ from run to run: a fault that was left
        out may still make the violation more frequent.
    """
    needed = list(faults)
    for fault in faults:
        fewer = [each for each in needed if each is not fault]
        if violates(tuple(fewer)):
            needed = fewer
    return needed
