"""Inject outages of the store in which entries of running upstreams lapse."""

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
    from soak.upstream import Upstream

STORE_FAULTS_BY_KIND = {
    "lapse-away": ("away",),
    "lapse-refused": ("refused", "resets"),
    "lapse-resets": ("resets",),
}
"""Faults of the store by kind; a store that refuses also ends waiting calls."""
SHARES = (0.1, 0.3, 0.6, 1.0)
"""Shares of the entries that lapse; each outage uses one of them.

VMs treat a loss of more than a quarter of the entries as an outage of the platform, and
a smaller loss as upstreams that are really gone.
"""
MAX_VANISHED = 2
LAPSE_AT_SHARE = (0.1, 0.9)
"""Lowest and highest share of the outage after which entries lapse."""
MAX_RELIST_S = 2.0
"""Longest time from the end of an outage to the return of an entry, in seconds.

This is the time that the platform specifies.
"""


@define(kw_only=True)
class LapseInjector:
    """Let entries lapse in an outage; after it most are listed again, some vanish.

    Parameters
    ----------
    store, upstreams, lapses
        The stand-ins, and the checks that record lapses.
    vms : list of str
        All entry VMs.
    seed : int
        Random seed, combined with the time of the fault, so that replays are equal.
    """

    store: SoakStore
    upstreams: Upstreams
    lapses: LapseChecks
    vms: list[str]
    seed: int

    async def inject(self, fault: SoakFault) -> None:
        """Inject one outage, and let entries lapse and return."""
        random = Random(f"lapse of {self.seed} at {fault.at}")
        before_s = fault.for_s * random.uniform(*LAPSE_AT_SHARE)
        upstreams = self.upstreams.current
        share = random.choice(SHARES)
        chosen = random.sample(
            range(len(upstreams)), max(1, round(share * len(upstreams)))
        )
        vanishing = chosen[: random.randint(0, min(MAX_VANISHED, len(chosen) - 1))]
        relist_after_s = {
            number: random.uniform(0.0, MAX_RELIST_S) for number in chosen
        }

        span = self.lapses.checks.disturbances.begin(
            self.vms, monotonic(), is_of_store=True
        )
        store_faults = [
            StoreFault(kind=each) for each in STORE_FAULTS_BY_KIND[fault.kind]
        ]
        self.store.faults += store_faults
        await sleep(before_s)
        lapsed, vanished = self._remove_entries(chosen, vanishing)
        await sleep(fault.for_s - before_s)
        for store_fault in store_faults:
            self.store.faults.remove(store_fault)
        span.end = monotonic()
        await self._relist_all(lapsed, vanished, relist_after_s)

    def _remove_entries(
        self, chosen: Iterable[int], vanishing: Iterable[int]
    ) -> tuple[list[int], list[int]]:
        """Remove entries, except those of upstreams that leave anyway."""
        eligible = [each for each in chosen if self.upstreams.current[each].is_staying]
        gone = [each for each in eligible if each in vanishing]
        for number in eligible:
            self.upstreams.remove_entry(number, is_gone=number in gone)
        return [each for each in eligible if each not in gone], gone

    async def _relist_all(
        self, lapsed: list[int], vanished: list[int], relist_after_s: dict[int, float]
    ) -> None:
        await self.store.wait_until_back()
        lapse = Lapse(ended_at=monotonic())
        self.lapses.lapses.append(lapse)
        tasks = [
            await spawn(
                self._relist, lapse, number, relist_after_s[number], daemon=True
            )
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
        """Serve long enough to detect late use of the upstream, then replace it."""
        await sleep(self.lapses.checks.bounds.contact)
        await self.upstreams.replace(number)
