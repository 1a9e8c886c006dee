"""Runtime checks of invariants, counted by name for the state dump."""

from __future__ import annotations

from collections import Counter

checks_by_name: Counter[str] = Counter()


class InvariantError(AssertionError):
    """An invariant of the system is violated; the process must stop."""


def check_invariant(name: str, holds: bool, detail: str = "") -> None:
    """Count a check of an invariant and raise an error if it is violated.

    Parameters
    ----------
    name : str
        Name of the invariant as listed in ``docs/INVARIANTS.md``.
    holds : bool
        Whether the invariant holds.
    detail : str, optional
        Description of the violation, for the log line.

    Raises
    ------
    InvariantError
        If the invariant is violated.
    """
    checks_by_name[name] += 1
    if not holds:
        raise InvariantError(f"invariant {name} is broken: {detail}")
