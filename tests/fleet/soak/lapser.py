"""Takes the store away, and entries of upstreams that live on with it."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from attrs import define
from curio import sleep
from curio import spawn

from plankspindle_core.steady_clock import monotonic
from soak.lapses import Lapse
from soak.lapses import LapseChecks
from soak.store import SoakStore
from soak.store import Trouble
from soak.upstreams import Upstreams

if TYPE_CHECKING:
    from collections.abc import Iterable

    from plankspindle_testkit.soak.soak_fault import SoakFault
    from soak.upstreams import Upstream

TROUBLES_BY_KIND = {
    "lapse-away": ("away",),
    "lapse-refused": ("refused", "resets"),
    "lapse-resets": ("resets",),
}
"""How the store is away; one that refuses ends the calls that wait, too."""
SHARES = (0.1, 0.3, 0.6, 1.0)
"""Parts of the entries that go, of which an outage has one.

VMs take more than a quarter for an outage of the platform, and less for upstreams that
are gone.
"""
MOST_VANISH = 2
WITHIN = (0.1, 0.9)
"""Part of the outage after which entries go, least and most."""
BACK_S = 2.0
"""Longest time from the store's return to an entry's, as the platform names it."""


@define(kw_only=True)
class Lapser:
    """Let entries lapse in an outage, come back after it, or stay away.

    Parameters
    ----------
    store, upstreams, lapses
        The stand-ins, and what is told of lapses.
    vms : list of str
        All entry VMs.
    seed : int
        Source of choices, with the time of the fault: a replay makes the same.
    """

    store: SoakStore
    upstreams: Upstreams
    lapses: LapseChecks
    vms: list[str]
    seed: int

    async def strike(self, fault: SoakFault) -> None:
        """Let one outage happen, and all that follows from it."""
        random = Random(f"lapse of {self.seed} at {fault.at}")
        before_s = fault.for_s * random.uniform(*WITHIN)
        lives = self.upstreams.lives
        share = random.choice(SHARES)
        chosen = random.sample(range(len(lives)), max(1, round(share * len(lives))))
        vanishing = chosen[: random.randint(0, min(MOST_VANISH, len(chosen) - 1))]
        back_s = {number: random.uniform(0.0, BACK_S) for number in chosen}

        span = self.lapses.checks.disturbed.begin(self.vms, monotonic())
        troubles = [Trouble(kind=each) for each in TROUBLES_BY_KIND[fault.kind]]
        self.store.troubles += troubles
        await sleep(before_s)
        lapsed, vanished = self._drop(chosen, vanishing)
        await sleep(fault.for_s - before_s)
        for trouble in troubles:
            self.store.troubles.remove(trouble)
        span.end = monotonic()
        await self._bring_back(lapsed, vanished, back_s)

    def _drop(
        self, chosen: Iterable[int], vanishing: Iterable[int]
    ) -> tuple[list[int], list[int]]:
        """Drop entries; those of upstreams that leave anyway stay as they are."""
        usable = [each for each in chosen if self.upstreams.lives[each].is_staying]
        gone = [each for each in usable if each in vanishing]
        for number in usable:
            self.upstreams.drop(number, is_gone=number in gone)
        return [each for each in usable if each not in gone], gone

    async def _bring_back(
        self, lapsed: list[int], vanished: list[int], back_s: dict[int, float]
    ) -> None:
        await self.store.wait_until_back()
        lapse = Lapse(ended_at=monotonic())
        self.lapses.lapses.append(lapse)
        tasks = [
            await spawn(self._come_back, lapse, number, back_s[number], daemon=True)
            for number in lapsed
        ]
        tasks += [
            await spawn(self._end_vanished, number, daemon=True) for number in vanished
        ]
        for task in tasks:
            await task.join()

    async def _come_back(self, lapse: Lapse, number: int, after_s: float) -> None:
        upstream: Upstream = self.upstreams.lives[number]
        await sleep(after_s)
        await self.upstreams.come_back(upstream)
        if not upstream.has_crashed:
            lapse.back_at.append((upstream, monotonic()))

    async def _end_vanished(self, number: int) -> None:
        """Serve on until requests would show that a VM still uses it."""
        await sleep(self.lapses.checks.bounds.contact)
        await self.upstreams.replace(number)
