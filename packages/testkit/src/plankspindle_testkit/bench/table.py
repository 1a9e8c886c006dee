"""Plain text tables and quantiles."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


def quantile(values: Sequence[float], share: float) -> float:
    """Return the value below which a share of the values lies.

    Parameters
    ----------
    values : sequence of float
        At least one value, in any order.
    share : float
        From 0 to 1.
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def print_table(
    title: str, columns: Sequence[str], rows: Sequence[Sequence[str]]
) -> None:
    """Print a Markdown table."""
    print(f"\n{title}\n")
    print("| " + " | ".join(columns) + " |")
    print("|" + " --- |" * len(columns))
    for row in rows:
        print("| " + " | ".join(row) + " |")
