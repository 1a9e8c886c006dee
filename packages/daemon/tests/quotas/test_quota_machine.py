"""The quota is kept in random orders of claims, leases, restarts and requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from plankspindle_daemon.quotas.quota_holder import QuotaHolder
from plankspindle_daemon.quotas.quota_options import LEASE_S
from plankspindle_daemon.quotas.quota_options import SHARDS
from plankspindle_daemon.quotas.quota_options import QuotaOptions
from plankspindle_daemon.quotas.share_lessor import ShareLessor
from plankspindle_testkit.builders import build_workspace

if TYPE_CHECKING:
    from plankspindle_daemon.peer_messages.quota_messages import ShareClaim
    from plankspindle_daemon.peer_messages.quota_messages import ShareLease

VMS = 4
RATE_PER_S = 8.0
BURST = 8.0
WINDOW_S = 5.0
ROUNDING = VMS
"""Bursts below one token are rounded by hash at each VM."""
vms = st.integers(0, VMS - 1)


class QuotaMachine(RuleBasedStateMachine):
    """VMs claim, lease and grant tokens in any order.

    Nothing coordinates them: any VM claims at any time, messages are lost, delayed and
    repeated, and processes restart, one after another or all at once.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.incarnation = 0
        self.claims: list[ShareClaim] = []
        self.leases: list[tuple[int, ShareLease]] = []
        self.granted_at: list[float] = []
        self.holders = [self.create_holder(vm) for vm in range(VMS)]
        self.lessors = [ShareLessor(vm=f"vm-{vm}", owns_from=0.0) for vm in range(VMS)]

    def create_holder(self, vm: int) -> QuotaHolder:
        self.incarnation += 1
        holder = QuotaHolder(
            vm=f"vm-{vm}", incarnation=self.incarnation, options=QuotaOptions()
        )
        holder.update_quotas(
            {"desk": build_workspace(rate_per_s=RATE_PER_S, burst=BURST)}
        )
        return holder

    @rule(vm=vms)
    def claim(self, vm: int) -> None:
        shards = tuple(range(SHARDS))
        claim = self.holders[vm].claim(shards, fleet_size=VMS, now=self.now)
        self.claims.append(claim)

    @rule(vm=vms, at=st.integers(0, 50))
    def deliver_claim(self, vm: int, at: int) -> None:
        if self.claims:
            claim = self.claims[at % len(self.claims)]
            lease = self.lessors[vm].answer(claim, fleet_size=VMS, now=self.now)
            if lease is not None:
                self.leases.append((int(claim.sender[3:]), lease))

    @rule(at=st.integers(0, 50))
    def deliver_lease(self, at: int) -> None:
        if self.leases:
            holder, lease = self.leases[at % len(self.leases)]
            self.holders[holder].add_lease(lease, self.now)

    @rule()
    def claim_and_lease_at_all_vms(self) -> None:
        for holder in self.holders:
            claim = holder.claim(tuple(range(SHARDS)), fleet_size=VMS, now=self.now)
            for lessor in self.lessors:
                lease = lessor.answer(claim, fleet_size=VMS, now=self.now)
                if lease is not None:
                    holder.add_lease(lease, self.now)

    @rule(vm=vms, requested=st.integers(1, 20))
    def take_tokens(self, vm: int, requested: int) -> None:
        taken = self.holders[vm].take_tokens("desk", requested, self.now)
        self.granted_at += [self.now] * taken.count

    @rule(seconds=st.sampled_from([0.05, 0.3, 0.8, 2.0, LEASE_S, 6.0]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    @rule(vm=vms)
    def restart(self, vm: int) -> None:
        self.holders[vm] = self.create_holder(vm)
        self.lessors[vm] = ShareLessor(vm=f"vm-{vm}", owns_from=self.now + LEASE_S)

    @rule()
    def restart_all(self) -> None:
        for vm in range(VMS):
            self.restart(vm)

    @invariant()
    def no_share_is_leased_to_two_holders(self) -> None:
        for shard in range(SHARDS):
            shares = [each.share_of(shard, self.now) for each in self.holders]
            assert sum(shares) <= 1.0 + 1e-9

    @invariant()
    def no_window_exceeds_quota(self) -> None:
        recent = [at for at in self.granted_at if at >= self.now - WINDOW_S]
        assert len(recent) <= RATE_PER_S * WINDOW_S + BURST + ROUNDING


TestQuotaMachine = QuotaMachine.TestCase
TestQuotaMachine.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
