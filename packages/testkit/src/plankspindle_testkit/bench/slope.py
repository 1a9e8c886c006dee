"""A cost that is measured at several sizes."""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen


@frozen(kw_only=True)
class Slope:
    """A cost as a function of a size.

    Parameters
    ----------
    name, unit : str
        Description and unit of the cost.
    sizes : tuple of int
        Sizes at which it is measured.
    measure : callable
        Returns the cost at a size.
    """

    name: str
    unit: str
    sizes: tuple[int, ...]
    measure: Callable[[int], float]
