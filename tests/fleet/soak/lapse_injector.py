"""Takes the store away, and entries of upstreams that live on with it."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from attrs import define
from curio import sleep
from curio import spawn

from plankspindle_core.steady_clock import monotonic
from soak.lapse_checks import Lapse
from soak.lapse_checks import LapseChecks
from soak.soak_store import SoakStore
from soak.soak_store import StoreFault
from soak.upstreams import Upstreams

if TYPE_CHECKING:
    from collections.abc import Iterable

    from plankspindle_testkit.soak.soak_fault import SoakFault
    from soak.upstreams import Upstream

STORE_FAULTS_BY_KIND = {
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
MAX_VANISHED = 2
LAPSE_AT_SHARE = (0.1, 0.9)
"""Part of the outage after which entries go, least and most."""
MAX_RELIST_S = 2.0
"""Longest time from the store's return to an entry's, as the platform names it."""


@define(kw_only=True)
class LapseInjector:
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

    async def inject(self, fault: SoakFault) -> None:
        """Let one outage happen, and all that follows from it."""
        random = Random(f"lapse of {self.seed} at {fault.at}")
        before_s = fault.for_s * random.uniform(*LAPSE_AT_SHARE)
        lives = self.upstreams.current
        share = random.choice(SHARES)
        chosen = random.sample(range(len(lives)), max(1, round(share * len(lives))))
        vanishing = chosen[: random.randint(0, min(MAX_VANISHED, len(chosen) - 1))]
        back_s = {number: random.uniform(0.0, MAX_RELIST_S) for number in chosen}

        span = self.lapses.checks.disturbances.begin(self.vms, monotonic())
        troubles = [StoreFault(kind=each) for each in STORE_FAULTS_BY_KIND[fault.kind]]
        self.store.faults += troubles
        await sleep(before_s)
        lapsed, vanished = self._remove_entries(chosen, vanishing)
        await sleep(fault.for_s - before_s)
        for trouble in troubles:
            self.store.faults.remove(trouble)
        span.end = monotonic()
        await self._relist_all(lapsed, vanished, back_s)

    def _remove_entries(
        self, chosen: Iterable[int], vanishing: Iterable[int]
    ) -> tuple[list[int], list[int]]:
        """Drop entries; those of upstreams that leave anyway stay as they are."""
        usable = [each for each in chosen if self.upstreams.current[each].is_staying]
        gone = [each for each in usable if each in vanishing]
        for number in usable:
            self.upstreams.remove_entry(number, is_gone=number in gone)
        return [each for each in usable if each not in gone], gone

    async def _relist_all(
        self, lapsed: list[int], vanished: list[int], back_s: dict[int, float]
    ) -> None:
        await self.store.wait_until_back()
        lapse = Lapse(ended_at=monotonic())
        self.lapses.lapses.append(lapse)
        tasks = [
            await spawn(self._relist, lapse, number, back_s[number], daemon=True)
            for number in lapsed
        ]
        tasks += [
            await spawn(self._replace_vanished, number, daemon=True)
            for number in vanished
        ]
        for task in tasks:
            await task.join()

    async def _relist(self, lapse: Lapse, number: int, after_s: float) -> None:
        upstream: Upstream = self.upstreams.current[number]
        await sleep(after_s)
        await self.upstreams.relist(upstream)
        if not upstream.has_crashed:
            lapse.relisted_at.append((upstream, monotonic()))

    async def _replace_vanished(self, number: int) -> None:
        """Serve on until requests would show that a VM still uses it."""
        await sleep(self.lapses.checks.bounds.contact)
        await self.upstreams.replace(number)
