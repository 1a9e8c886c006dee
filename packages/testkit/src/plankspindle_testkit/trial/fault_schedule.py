"""Faults of a trial, drawn before it begins, so that any of them can be left out."""

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
    """One fault.

    Parameters
    ----------
    at : float
        Seconds from the start of the trial.
    kind : str
        Its name.
    vm, upstream : str
        What it strikes, where it strikes one.
    seed : int
        Seed of what it draws itself.
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
        What the trial does.
    seconds : float
        Its length.

    Notes
    -----
    They have a source of chance of their own: leaving one out changes no other.
    """
    random = Random(f"faults of {options.seed}")
    ways = (
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
            kind=random.choice(ways),
            vm=random.choice(vms),
            upstream=random.choice(upstreams),
            seed=random.getrandbits(32),
        )
        faults.append(fault)
        at += random.expovariate(options.fault_rate)
    return tuple(faults)
