"""Assertion of invariants, counted per name so that a state dump shows them."""

from __future__ import annotations

from collections import Counter

checks_by_name: Counter[str] = Counter()


class InvariantError(AssertionError):
    """A promise of the system was about to be broken; the process must stop."""


def check_invariant(name: str, holds: bool, detail: str = "") -> None:
    """Count one check of an invariant and stop the process if it is broken.

    Parameters
    ----------
    name : str
        Name of the invariant as listed in ``docs/INVARIANTS.md``.
    holds : bool
        Whether the invariant holds.
    detail : str, optional
        What was found, for the log line.

    Raises
    ------
    InvariantError
        If the invariant is broken.
    """
    checks_by_name[name] += 1
    if not holds:
        raise InvariantError(f"invariant {name} is broken: {detail}")
