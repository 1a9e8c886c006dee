"""Faults of a soak, drawn at random from a seed or read from a file."""

from __future__ import annotations

import json
from collections.abc import Sequence
from random import Random
from typing import TYPE_CHECKING

from attrs import asdict
from attrs import evolve
from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Iterable

MEAN_GAP_S = 2.0
"""Mean time between the starts of two draws, in seconds."""
MIN_DURATION_S = 0.5
MAX_DURATION_S = 6.0
VM_KINDS = ("kill", "stop", "term", "hup", "herd", "rolling", "stutter")
PLATFORM_KINDS = ("platform-down", "platform-slow", "platform-loses-answers")
UPSTREAM_KINDS = ("shed", "fail", "hang", "truncate", "close-after-run", "extra-bytes")
LINK_KINDS = (
    "delays",
    "throttles",
    "holds-requests",
    "holds-answers",
    "resets",
    "silence",
)
OPERATOR_KINDS = ("drain", "storm", "race")
CALLER = "caller"
LINKS = (CALLER, "store", "upstream")
PLATFORM = "platform"
"""Target name of disturbances of the platform."""
SERIES_SHARE = 0.2
"""Share of the draws that are a series of the same fault."""
COMBINATION_SHARE = 0.15
"""Share of the draws that are a combination of overlapping faults."""
MAX_SERIES_GAP_S = 1.2
"""Maximum time between two faults of a series, in seconds."""
MIN_SERIES_LENGTH = 3
MAX_SERIES_LENGTH = 5
DRAIN_WATCH_S = 8.0
"""Time for which a drain in a combination is observed, in seconds."""
COMBINATIONS: tuple[tuple[tuple[float, str], ...], ...] = (
    ((0.0, "rolling"), (1.0, "storm"), (2.0, "platform-down")),
    ((0.0, "herd"), (0.3, "hup"), (0.6, "hup"), (1.5, "hup")),
    ((0.0, "drain"), (1.0, "kill"), (6.0, "storm"), (7.0, "term")),
    ((0.0, "drain"), (4.0, "resets"), (5.5, "hang"), (7.0, "stutter")),
    ((0.0, "drain"), (2.0, "rolling"), (3.0, "shed")),
    ((0.0, "herd"), (0.5, "platform-slow"), (3.0, "stutter")),
    ((0.0, "hang"), (0.5, "stutter"), (1.0, "stutter"), (1.5, "storm")),
    ((0.0, "rolling"), (0.5, "stutter"), (3.0, "hup"), (5.0, "silence")),
)
"""Combined kinds of faults, each with its delay after the first, in seconds."""


@frozen(kw_only=True)
class SoakFault:
    """One fault.

    Parameters
    ----------
    at, for_s : float
        Start, seconds after the start of the load, and duration in seconds.
    kind : str
        Kind of fault.
    target : str
        VM, upstream or link (``LINK:NAME``). Empty for a fault of all VMs or of the
        platform and for a change by operators; an empty target of a drain means the
        first upstream.
    """

    at: float
    for_s: float
    kind: str
    target: str = ""

    def disturbed_targets(self) -> list[str]:
        """Return the VM, the upstream or the platform that the fault may delay.

        Changes by operators and failures of upstreams must not delay answers.
        Disturbances by faults of processes are recorded while they are injected.
        """
        if self.kind in LINK_KINDS:
            return [self.target.partition(":")[2]]
        if self.kind in PLATFORM_KINDS:
            return [PLATFORM]
        return []


@frozen(kw_only=True)
class _Targets:
    vms: Sequence[str]
    upstreams: Sequence[str]


def draw_faults(
    seed: int, *, seconds: float, vms: Sequence[str], upstreams: Sequence[str]
) -> list[SoakFault]:
    """Draw single faults, series of one kind, and combinations of faults.

    Parameters
    ----------
    seed : int
        Seed of the random generator.
    seconds : float
        Period in which draws start; later faults of a series or combination may start
        after it.
    vms, upstreams : sequence of str
        Targets of the faults.
    """
    random = Random(f"soak {seed}")
    targets = _Targets(vms=vms, upstreams=upstreams)
    faults: list[SoakFault] = []
    at = random.expovariate(1 / MEAN_GAP_S)
    while at < seconds:
        drawn_share = random.random()
        if drawn_share < SERIES_SHARE:
            faults += _draw_series(random, at, targets)
        elif drawn_share < SERIES_SHARE + COMBINATION_SHARE:
            faults += _draw_combination(random, at, targets)
        else:
            faults.append(_draw_fault(random, at, _draw_kind(random), targets))
        at += random.expovariate(1 / MEAN_GAP_S)
    return sorted(faults, key=lambda each: each.at)


def _draw_kind(random: Random) -> str:
    return random.choice(
        [*VM_KINDS, *PLATFORM_KINDS, *UPSTREAM_KINDS, *LINK_KINDS, *OPERATOR_KINDS]
    )


def _draw_fault(
    random: Random,
    at: float,
    kind: str,
    targets: _Targets,
    max_s: float = MAX_DURATION_S,
) -> SoakFault:
    return SoakFault(
        at=round(at, 3),
        for_s=round(random.uniform(MIN_DURATION_S, max_s), 3),
        kind=kind,
        target=_draw_target(random, kind, targets),
    )


def _draw_series(random: Random, at: float, targets: _Targets) -> list[SoakFault]:
    """Draw a series of one kind of fault, at one target or at several."""
    kind = _draw_kind(random)
    first = _draw_fault(random, at, kind, targets, MAX_SERIES_GAP_S)
    same_target = random.random() < 0.5
    faults = [first]
    for _ in range(random.randint(MIN_SERIES_LENGTH, MAX_SERIES_LENGTH) - 1):
        at += random.uniform(0.1, MAX_SERIES_GAP_S)
        drawn = _draw_fault(random, at, kind, targets, MAX_SERIES_GAP_S)
        faults.append(evolve(drawn, target=first.target) if same_target else drawn)
    return faults


def _draw_combination(random: Random, at: float, targets: _Targets) -> list[SoakFault]:
    faults = []
    for after_s, kind in random.choice(COMBINATIONS):
        drawn = _draw_fault(random, at + after_s, kind, targets)
        faults.append(evolve(drawn, for_s=DRAIN_WATCH_S) if kind == "drain" else drawn)
    return faults


def _draw_target(random: Random, kind: str, targets: _Targets) -> str:
    if kind in ("herd", "rolling", "storm", "race") or kind in PLATFORM_KINDS:
        return ""
    if kind in VM_KINDS:
        return random.choice(targets.vms)
    if kind in UPSTREAM_KINDS or kind == "drain":
        return random.choice(targets.upstreams)
    link = random.choice(LINKS)
    names = targets.upstreams if link == "upstream" else targets.vms
    return f"{link}:{random.choice(names)}"


def write_schedule(faults: Iterable[SoakFault]) -> str:
    """Write faults as lines of JSON."""
    return "".join(json.dumps(asdict(fault)) + "\n" for fault in faults)


def read_schedule(text: str) -> list[SoakFault]:
    """Read faults from lines of JSON.

    Raises
    ------
    ValueError
        If a line is no fault; the message has the number of the line.
    """
    faults = []
    for number, line in enumerate(text.splitlines(), start=1):
        try:
            faults.append(SoakFault(**json.loads(line)))
        except (TypeError, ValueError) as error:
            raise ValueError(f"line {number} is no fault: {error}") from error
    return sorted(faults, key=lambda each: each.at)
