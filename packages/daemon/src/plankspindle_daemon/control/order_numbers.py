"""Numbers of the orders of roll-outs that plans put in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve

if TYPE_CHECKING:
    from plankspindle_core.configuration.configuration import Configuration
    from plankspindle_core.configuration.rollout import Rollout


def with_known_order_numbers(
    wanted: Configuration, base: Configuration | None
) -> Configuration:
    """Return a whole configuration whose orders have the numbers of the same orders.

    Parameters
    ----------
    wanted : Configuration
        Configuration of a file, which has no numbers, or of an earlier version.
    base : Configuration, optional
        Configuration that it replaces.

    Notes
    -----
    Without this, a file that is applied for another reason would begin its roll-outs
    anew.
    """
    if base is None or not wanted.rollouts_by_service:
        return wanted
    orders = {
        service: _known(order, base.rollouts_by_service.get(service))
        for service, order in wanted.rollouts_by_service.items()
    }
    return evolve(wanted, rollouts_by_service=orders)


def _known(order: Rollout, known: Rollout | None) -> Rollout:
    is_same = known is not None and evolve(known, number=order.number) == order
    return known if known is not None and is_same else order


def with_new_order_numbers(
    proposed: Configuration, base: Configuration | None, version: int
) -> Configuration:
    """Return a configuration whose new orders are numbered by its version.

    Parameters
    ----------
    proposed : Configuration
        Configuration that results from an intent.
    base : Configuration, optional
        Configuration that it replaces; what is equal there is no new order.
    version : int
        Version of the resulting configuration.
    """
    if not proposed.rollouts_by_service:
        return proposed
    known = base.rollouts_by_service if base else {}
    orders = {
        service: order if known.get(service) == order else evolve(order, number=version)
        for service, order in proposed.rollouts_by_service.items()
    }
    return evolve(proposed, rollouts_by_service=orders)
