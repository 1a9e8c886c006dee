"""Selects entry VMs of other regions that headroom may be requested from."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_daemon.headroom.headroom_manager import HeadroomTarget

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Set as AbstractSet
    from random import Random

    from plankspindle_core.configuration.configuration import Configuration
    from plankspindle_core.configuration.shift import Shift
    from plankspindle_daemon.platform.live_list import ListedVm


def choose_targets(
    shifts: Iterable[Shift],
    configuration: Configuration,
    *,
    listed: Iterable[ListedVm],
    drained: AbstractSet[str],
    random: Random,
) -> list[HeadroomTarget]:
    """Choose an entry VM for each shift out of the own region.

    Parameters
    ----------
    shifts : iterable of Shift
        The shifts.
    configuration : Configuration
        The version in force.
    listed : iterable of ListedVm
        The platform's list.
    drained : set of str
        Entry VMs that must not be chosen.
    random : Random
        Source of choices.
    """
    vms = tuple(listed)
    targets = []
    for shift in shifts:
        domains = configuration.domains_of(shift.to_region)
        candidates = [
            HeadroomTarget(
                service=shift.service,
                region=shift.to_region,
                caller_endpoint=each.caller_endpoint,
                peer_endpoint=each.peer_endpoint,
            )
            for each in vms
            if each.failure_domain in domains
            and not each.leaving
            and each.name not in drained
            and each.caller_endpoint is not None
            and each.peer_endpoint is not None
        ]
        if candidates:
            targets.append(random.choice(candidates))
    return targets
