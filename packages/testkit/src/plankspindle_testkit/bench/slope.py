"""A cost that is measured at some sizes."""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen


@frozen(kw_only=True)
class Slope:
    """A cost at some sizes.

    Parameters
    ----------
    name, unit : str
        What is measured, in which unit.
    sizes : tuple of int
        Sizes.
    measure : callable
        Gives the cost at a size.
    """

    name: str
    unit: str
    sizes: tuple[int, ...]
    measure: Callable[[int], float]
