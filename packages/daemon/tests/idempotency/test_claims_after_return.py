"""Claims after the platform's store has returned from a copy.

A key must not run twice where that can be known: where the VM that ran it is up and
reaches the store while lost claims are restored.
"""

from __future__ import annotations

import math
from random import Random

import hypothesis.strategies as st
from attrs import Factory
from attrs import define
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import rule
from result import Err
from result import Ok
from result import Result

from plankspindle_core.steady_clock import monotonic
from plankspindle_core.supervisor import Supervisor
from plankspindle_daemon.idempotency import claim_attempt as c
from plankspindle_daemon.idempotency.claim_restorer import ClaimRestorer
from plankspindle_daemon.idempotency.claim_row import ClaimRow
from plankspindle_daemon.idempotency.claim_row import ClaimState
from plankspindle_daemon.idempotency.claim_row import claim_row_from_mapping
from plankspindle_daemon.idempotency.claim_store import ClaimStore
from plankspindle_daemon.idempotency.fingerprint import Fingerprint
from plankspindle_daemon.idempotency.recent_claims import MAX_RECENT_CLAIMS
from plankspindle_daemon.idempotency.recent_claims import RecentClaims
from plankspindle_daemon.idempotency.verdicts import RunIt
from plankspindle_daemon.idempotency.verdicts import StoreRestoring
from plankspindle_daemon.platform.bounded_calls import BoundedCalls
from plankspindle_daemon.platform.errors import ConditionFailed
from plankspindle_daemon.platform.errors import PlatformUnavailable
from plankspindle_daemon.platform.table import Row
from plankspindle_daemon.platform.table import RowWrite
from plankspindle_daemon.platform.table import Transaction
from plankspindle_daemon.versions.store_era import MAX_COPY_AGE_S
from plankspindle_daemon.versions.store_era import RESTORE_S
from plankspindle_testkit.platform_stand_in.table_store import TableStore
from plankspindle_testkit.trial.fake_platform import FakePlatform
from plankspindle_testkit.trial.fake_platform import run_to_completion

POLL_S = 1.5
"""Time within which a connected VM hears from the store, in seconds."""
STEP_S = 0.25
"""Period in which a VM restores claims, in seconds."""
VMS = ("a", "b", "c")
KEYS = tuple(f"claims/k{number}" for number in range(8))
MAX_COPY_STEPS = 40
"""Highest age of a copy that the store returns from, in steps."""


def build_claim(nonce: str, state: ClaimState = ClaimState.CLAIMED) -> ClaimRow:
    return ClaimRow(
        fingerprint=Fingerprint(caller="dealer", digest="aa"),
        nonce=nonce,
        state=state,
        expires_at=99.0,
    )


@define(kw_only=True)
class Store:
    """The store's table and era, shared by all VMs."""

    table: TableStore = Factory(TableStore)
    era: int = 1


@define(kw_only=True)
class VmPlatform:
    """The store as one VM reaches it; each answer names the era."""

    store: Store
    calls: BoundedCalls = Factory(lambda: BoundedCalls(timeout_s=1.0))
    now: float = 0.0
    is_cut: bool = False

    def poll(self) -> bool:
        if not self.is_cut:
            self.calls.era.observe(self.store.era, self.now)
        return not self.is_cut

    def _row(self, key: str) -> Row:
        found = self.store.table.read(key)
        return Row(
            key=key, version=found.version, value=found.value, era=self.store.era
        )

    async def read_row(self, key: str) -> Result[Row, PlatformUnavailable]:
        return Ok(self._row(key)) if self.poll() else Err(PlatformUnavailable("cut"))

    async def read_rows(
        self, keys: list[str]
    ) -> Result[dict[str, Row], PlatformUnavailable]:
        if not self.poll():
            return Err(PlatformUnavailable("cut"))
        return Ok({key: self._row(key) for key in keys})

    async def commit(
        self, transaction: Transaction
    ) -> Result[None, ConditionFailed | PlatformUnavailable]:
        outdated = transaction.keys_of_earlier_eras(self.calls.era.number)
        if outdated:
            return Err(ConditionFailed(outdated))
        if not self.poll():
            return Err(PlatformUnavailable("cut"))
        failed = self.store.table.commit(
            [
                {
                    "key": write.key,
                    "expected_version": write.expected_version,
                    "value": write.value,
                }
                for write in transaction.writes
            ]
        )
        if transaction.keys_of_earlier_eras(self.calls.era.number):
            return Err(PlatformUnavailable("returned"))
        return Err(ConditionFailed(tuple(failed))) if failed else Ok(None)


@define(kw_only=True)
class Vm:
    """The claims of one VM, which hears from the store once in ``POLL_S``."""

    platform: VmPlatform
    recent: RecentClaims = Factory(RecentClaims)
    next_poll_at: float = 0.0
    restorer: ClaimRestorer = None  # type: ignore[assignment]

    def __attrs_post_init__(self) -> None:
        self.restorer = ClaimRestorer(platform=self.platform)  # type: ignore[arg-type]

    def step(self, now: float) -> None:
        self.platform.now = now
        if now >= self.next_poll_at:
            self.platform.poll()
            self.next_poll_at = now + POLL_S
        self.restorer.begin_if_returned(self.recent, now)
        run_to_completion(self.restorer.step(self.recent, now))


@define(kw_only=True)
class _Run:
    """A run of a request; it is excused if no VM could know of it any more."""

    vm: str
    nonce: str
    at: float
    is_remembered: bool = True
    lost_at: float = -math.inf
    is_excused: bool = False


class ClaimsMachine(RuleBasedStateMachine):
    """VMs that run requests with keys while the store returns from copies."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.store = Store()
        self.copies: list[TableStore] = []
        self.vms = {}
        for name in VMS:
            self.vms[name] = self.start_vm()
            self.now += STEP_S
        self.runs_by_key: dict[str, list[_Run]] = {}
        self.attempts = 0
        self.advance(RESTORE_S)

    def start_vm(self) -> Vm:
        vm = Vm(platform=VmPlatform(store=self.store))
        vm.step(self.now)
        return vm

    @rule(seconds=st.floats(0.1, 4.0))
    def advance(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.copies.append(self.store.table.copy())
            self.now = min(until, self.now + STEP_S)
            for vm in self.vms.values():
                vm.step(self.now)

    @rule(age_steps=st.integers(1, MAX_COPY_STEPS))
    def return_from_copy(self, age_steps: int) -> None:
        table = self.copies[-min(age_steps, len(self.copies))]
        self.store.table = table.copy()
        self.store.era += 1
        for key, runs in self.runs_by_key.items():
            for run in runs:
                if (table.read(key).value or {}).get("nonce") != run.nonce:
                    run.lost_at = self.now
                    is_cut = self.vms[run.vm].platform.is_cut
                    run.is_excused |= is_cut or not run.is_remembered

    @rule(vm=st.sampled_from(VMS), key=st.sampled_from(KEYS))
    def request(self, vm: str, key: str) -> None:
        platform = self.vms[vm].platform
        platform.now = self.now
        era = platform.calls.era
        if era.restoring_left_s(self.now) > 0:
            return
        self.attempts += 1
        claim = build_claim(f"n{self.attempts}")
        attempt = c.ClaimAttempt(key=key, claim_row=claim)
        effects = attempt.begin()
        for _ in range(6):
            match effects[-1]:
                case c.WriteRow(write=write):
                    effects = attempt.handle(self.write(platform, write))
                case c.ReadRow():
                    read = run_to_completion(platform.read_row(key))
                    effects = attempt.handle(
                        c.RowRead(read.unwrap()) if read.is_ok() else c.ReadUnanswered()
                    )
                case c.Settled(verdict=RunIt()):
                    if era.restoring_left_s(self.now) == 0:
                        self.run(vm, key, claim)
                    else:
                        self.close(vm, key, claim.released())
                    return
                case c.Settled():
                    return

    @rule(vm=st.sampled_from(VMS), seconds=st.floats(0.0, 3.0))
    def repeat(self, vm: str, seconds: float) -> None:
        """Repeat the last request that ran, at another VM perhaps."""
        if self.runs_by_key:
            self.request(vm, next(reversed(self.runs_by_key)))
            self.advance(seconds)
            self.request(vm, next(reversed(self.runs_by_key)))

    def write(self, platform: VmPlatform, write: RowWrite) -> c.ClaimEvent:
        committed = run_to_completion(platform.commit(Transaction(writes=[write])))
        if committed.is_ok():
            return c.WriteAnswered(True)
        if isinstance(committed.unwrap_err(), ConditionFailed):
            return c.WriteAnswered(False)
        return c.WriteUnanswered()

    def run(self, vm: str, key: str, claim: ClaimRow) -> None:
        runs = self.runs_by_key.setdefault(key, [])
        known = [each for each in runs if not each.is_excused]
        assert not known, f"{key} runs on {vm} at {self.now}, and ran before: {known}"
        runs.append(_Run(vm=vm, nonce=claim.nonce, at=self.now))
        self.close(vm, key, claim.finished(None))

    def close(self, vm: str, key: str, row: ClaimRow) -> None:
        self.vms[vm].recent.record(key, row, self.now)
        platform = self.vms[vm].platform
        read = run_to_completion(platform.read_row(key))
        if read.is_ok():
            write = read.unwrap().replaced_by(row.to_mapping())
            run_to_completion(platform.commit(Transaction(writes=[write])))

    @rule(vm=st.sampled_from(VMS), is_cut=st.booleans())
    def cut(self, vm: str, is_cut: bool) -> None:
        self.vms[vm].platform.is_cut = is_cut
        if is_cut:
            self.interrupt_restoring(vm)

    @rule(vm=st.sampled_from(VMS))
    def restart(self, vm: str) -> None:
        self.interrupt_restoring(vm)
        self.vms[vm] = self.start_vm()
        for run in self.runs_of(vm):
            run.is_remembered = False

    def interrupt_restoring(self, vm: str) -> None:
        """Excuse runs whose claims the VM had no time to write again."""
        for run in self.runs_of(vm):
            run.is_excused |= self.now - run.lost_at <= RESTORE_S

    def runs_of(self, vm: str) -> list[_Run]:
        return [
            run for runs in self.runs_by_key.values() for run in runs if run.vm == vm
        ]


TestClaimsMachine = ClaimsMachine.TestCase
TestClaimsMachine.settings = settings(max_examples=500, stateful_step_count=40)


def build_store(platform: FakePlatform) -> ClaimStore:
    return ClaimStore(
        platform=platform,  # type: ignore[arg-type]
        random=Random(1),
        supervisor=Supervisor(),
    )


def test_no_key_is_claimed_while_lost_claims_are_restored() -> None:
    platform = FakePlatform(random=Random(1), fault_rate=0.0)
    platform.calls.era.observe(1, monotonic() - 60.0)
    platform.return_from(platform.table.copy(), monotonic())
    claim = build_store(platform).claim(
        key=KEYS[0], claim_row=build_claim("n1"), deadline=monotonic() + 1.0
    )
    verdict = run_to_completion(claim)
    assert isinstance(verdict, StoreRestoring)
    assert 0.0 < verdict.left_s <= RESTORE_S
    assert platform.table.rows_by_key == {}


def test_closed_claim_is_written_again_in_its_last_state() -> None:
    platform = FakePlatform(random=Random(1), fault_rate=0.0)
    platform.calls.era.observe(1, monotonic() - 60.0)
    store = build_store(platform)
    claimed, finished = build_claim("n1"), build_claim("n1", ClaimState.FINISHED)
    write = RowWrite(key=KEYS[0], expected_version=0, value=claimed.to_mapping())
    copy_without_claim = platform.table.copy()
    run_to_completion(platform.commit(Transaction(writes=[write])))
    copy_with_claim = platform.table.copy()
    for copy in (copy_without_claim, copy_with_claim):
        store.close_claim(KEYS[0], finished)
        run_to_completion(store.close_ended_claims())
        platform.return_from(copy, monotonic())
        for _ in range(2):
            run_to_completion(store.restore_lost_claims())
        row = run_to_completion(platform.read_row(KEYS[0])).unwrap()
        assert claim_row_from_mapping(row.value).unwrap() == finished


def test_claims_beyond_the_limit_are_forgotten_and_counted() -> None:
    recent = RecentClaims()
    for number in range(MAX_RECENT_CLAIMS + 3):
        recent.record(f"claims/{number}", build_claim(f"n{number}"), now=0.0)
    assert recent.forgotten == 3
    assert len(recent.recent(now=1.0)) == MAX_RECENT_CLAIMS
    assert recent.recent(now=MAX_COPY_AGE_S + 1.0) == {}
