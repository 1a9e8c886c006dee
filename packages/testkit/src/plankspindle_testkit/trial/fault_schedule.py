"""Faults of a trial, drawn before it starts, so that any of them can be left out."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from plankspindle_testkit.trial.world import TrialOptions

FAULT_KINDS = (
    "conduct",
    "conduct-again",
    "heal",
    "kill",
    "leave",
    "liar",
    "pause",
    "platform",
    "power-loss",
    "race",
    "restart",
    "restart-again",
)
PARTITION = "cut"


@frozen(kw_only=True)
class ScheduledFault:
    """One fault of a trial.

    Parameters
    ----------
    at : float
        Time from the start of the trial, in simulated seconds.
    kind : str
        Kind of fault.
    vm, upstream : str
        Affected VM and upstream, for faults that affect a single one.
    seed : int
        Seed of the fault's own random choices.
    """

    at: float
    kind: str
    vm: str
    upstream: str
    seed: int


def draw_schedule(options: TrialOptions, seconds: float) -> tuple[ScheduledFault, ...]:
    """Draw the faults of a trial.

    Parameters
    ----------
    options : TrialOptions
        Options of the trial.
    seconds : float
        Length of the trial, in simulated seconds.

    Notes
    -----
    The schedule has a random generator of its own and each fault a seed of its own, so
    that leaving out one fault changes no other.
    """
    random = Random(f"faults of {options.seed}")
    kinds = (
        [*FAULT_KINDS, PARTITION]
        if options.partitions_within_domains
        else [*FAULT_KINDS]
    )
    vms = sorted(place.name for place in options.places)
    upstreams = sorted(options.configuration.upstreams_by_name)
    faults = []
    at = random.expovariate(options.fault_rate) if options.fault_rate else seconds
    while at < seconds:
        fault = ScheduledFault(
            at=at,
            kind=random.choice(kinds),
            vm=random.choice(vms),
            upstream=random.choice(upstreams),
            seed=random.getrandbits(32),
        )
        faults.append(fault)
        at += random.expovariate(options.fault_rate)
    return tuple(faults)
