"""Faults of a soak, drawn from a seed or read from a file."""

from __future__ import annotations

import json
from random import Random
from typing import TYPE_CHECKING

from attrs import asdict
from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

GAP_S = 2.0
"""Mean time between the beginnings of two faults, in seconds."""
LEAST_S = 0.5
MOST_S = 6.0
OF_VMS = ("kill", "stop", "term", "hup", "herd", "rolling")
OF_PLATFORM = ("platform-down", "platform-slow", "platform-loses-answers")
OF_UPSTREAMS = ("shed", "fail", "hang", "truncate", "close-after-run", "extra-bytes")
OF_LINKS = (
    "delays",
    "throttles",
    "holds-requests",
    "holds-answers",
    "resets",
    "silence",
)
OF_OPERATORS = ("drain", "storm", "race")
LINKS = ("caller", "store", "upstream")
PLATFORM = "platform"
"""Name by which the platform is disturbed."""


@frozen(kw_only=True)
class SoakFault:
    """One fault.

    Parameters
    ----------
    at, for_s : float
        When it begins and how long it lasts, in seconds from the start of the load.
    kind : str
        What happens.
    target : str
        VM, upstream or link (``LINK:NAME``); empty where it strikes all.
    """

    at: float
    for_s: float
    kind: str
    target: str = ""

    def disturbs(self, vms: Sequence[str]) -> list[str]:
        """Name what may be late by it: VMs, upstreams, or the platform.

        Operators and upstreams that fail are no excuse for a late answer.

        Parameters
        ----------
        vms : sequence of str
            All entry VMs.
        """
        if self.kind in OF_LINKS:
            return [self.target.partition(":")[2]]
        if self.kind in OF_PLATFORM:
            return [PLATFORM]
        if self.kind in ("herd", "rolling"):
            return list(vms)
        if self.kind in OF_VMS and self.kind != "hup":
            return [self.target]
        return []


def draw_faults(
    seed: int, *, seconds: float, vms: Sequence[str], upstreams: Sequence[str]
) -> list[SoakFault]:
    """Draw faults, some of which overlap.

    Parameters
    ----------
    seed : int
        Source of chance.
    seconds : float
        Time in which they begin.
    vms, upstreams : sequence of str
        What they strike.
    """
    random = Random(f"soak {seed}")
    kinds = [*OF_VMS, *OF_PLATFORM, *OF_UPSTREAMS, *OF_LINKS, *OF_OPERATORS]
    faults = []
    at = random.expovariate(1 / GAP_S)
    while at < seconds:
        kind = random.choice(kinds)
        fault = SoakFault(
            at=round(at, 3),
            for_s=round(random.uniform(LEAST_S, MOST_S), 3),
            kind=kind,
            target=_draw_target(random, kind, vms, upstreams),
        )
        faults.append(fault)
        at += random.expovariate(1 / GAP_S)
    return faults


def _draw_target(
    random: Random, kind: str, vms: Sequence[str], upstreams: Sequence[str]
) -> str:
    if kind in ("herd", "rolling") or kind in OF_PLATFORM or kind in OF_OPERATORS:
        return ""
    if kind in OF_VMS:
        return random.choice(vms)
    if kind in OF_UPSTREAMS:
        return random.choice(upstreams)
    link = random.choice(LINKS)
    return f"{link}:{random.choice(upstreams if link == 'upstream' else vms)}"


def write_schedule(faults: Iterable[SoakFault]) -> str:
    """Write faults as lines of JSON."""
    return "".join(json.dumps(asdict(fault)) + "\n" for fault in faults)


def read_schedule(text: str) -> list[SoakFault]:
    """Read faults from lines of JSON.

    Raises
    ------
    ValueError
        If a line is no fault, with its number.
    """
    faults = []
    for number, line in enumerate(text.splitlines(), start=1):
        try:
            faults.append(SoakFault(**json.loads(line)))
        except (TypeError, ValueError) as error:
            raise ValueError(f"line {number} is no fault: {error}") from error
    return sorted(faults, key=lambda each: each.at)
