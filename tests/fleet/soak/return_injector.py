"""Let the store return from a copy, and restore what others than the VMs wrote."""

from __future__ import annotations

from math import inf
from random import Random
from typing import TYPE_CHECKING

from attrs import define
from curio import sleep
from curio import spawn

from plankspindle_core.steady_clock import monotonic
from plankspindle_platform.operator_reader import OPERATOR_TABLE
from plankspindle_platform.store_platform import SERVER_TABLE
from soak.checks import Checks
from soak.soak_store import SoakStore
from soak.soak_store import StoreFault
from soak.upstreams import HEARTBEAT_S
from soak.upstreams import MISSED_HEARTBEATS
from soak.upstreams import Upstreams

if TYPE_CHECKING:
    from plankspindle_testkit.soak.soak_fault import SoakFault

COPY_AGE_S = (0.2, 12.0)
"""Age of the copy, in seconds."""
SILENT_RETURN_SHARE = 0.3
"""Share of the returns during which the store answers all the time."""
TWICE_SHARE = 0.25
"""Share of the returns that are followed by another one."""
TWICE_GAP_S = (0.0, 2.0)
MAX_RESTORE_S = 1.9
"""Longest time until the operator has restored a row, in seconds."""
FAULT_KINDS = ("away", "resets", "held")


@define(kw_only=True)
class ReturnInjector:
    """Inject returns of the store from copies of any age.

    Parameters
    ----------
    store, upstreams, checks
        The stand-ins, and the checks that record disturbances.
    vms : list of str
        All entry VMs.
    seed : int
        Random seed, combined with the time of the fault, so that replays are equal.
    """

    store: SoakStore
    upstreams: Upstreams
    checks: Checks
    vms: list[str]
    seed: int

    async def inject(self, fault: SoakFault) -> None:
        """Let the store return once, or twice in a row."""
        random = Random(f"return of {self.seed} at {fault.at}")
        await self._return(random, fault.for_s)
        if random.random() < TWICE_SHARE:
            await sleep(random.uniform(*TWICE_GAP_S))
            await self._return(random, 0.0)

    async def _return(self, random: Random, for_s: float) -> None:
        span = self.checks.disturbances.begin(self.vms, monotonic(), is_of_store=True)
        away = StoreFault(kind=random.choice(FAULT_KINDS))
        age_s = random.uniform(*COPY_AGE_S)
        is_silent = random.random() < SILENT_RETURN_SHARE
        if not is_silent:
            self.store.faults.append(away)
            await sleep(for_s)
        self.store.return_from(self.store.copy_of_age(age_s))
        self._record_relisted()
        if not is_silent:
            self.store.faults.remove(away)
        span.end = monotonic()
        self.checks.counts["returns of the store"] += 1
        await spawn(self._restore_operator_rows, random.random(), daemon=True)
        await spawn(self._expire_entries, daemon=True)

    def _record_relisted(self) -> None:
        """Record entries that are back, for VMs that could not know they were gone."""
        now = monotonic()
        for upstream in self.upstreams.gone:
            is_back = (SERVER_TABLE, upstream.name) in self.store.rows_by_key
            if upstream.left_at > now or not is_back:
                continue
            for vm in self.vms:
                if not self.checks.disturbances.has_been_undisturbed(
                    vm, upstream.left_at, now
                ):
                    upstream.relisted_until_by_vm[vm] = inf

    async def _restore_operator_rows(self, share: float) -> None:
        """Write the rows of the operator again that differ from what he wrote last."""
        await sleep(share * MAX_RESTORE_S)
        for key in list(self.store.operator_writes_by_key):
            newest = self.store.operator_writes_by_key[key]
            if self.store.differs(OPERATOR_TABLE, key, newest()):
                await self.store.write_until_acknowledged(OPERATOR_TABLE, key, newest)

    async def _expire_entries(self) -> None:
        """Remove entries of the copy that no upstream writes any more."""
        await sleep(MISSED_HEARTBEATS * HEARTBEAT_S)
        written = {each.name for each in self.upstreams.current if each.is_listed}
        for table, key in list(self.store.rows_by_key):
            if table == SERVER_TABLE and key not in written:
                self.store.remove(table, key)
                self._record_expired(key)

    def _record_expired(self, name: str) -> None:
        for upstream in self.upstreams.gone:
            if upstream.name == name:
                relisted = upstream.relisted_until_by_vm
                relisted |= dict.fromkeys(relisted, monotonic())
