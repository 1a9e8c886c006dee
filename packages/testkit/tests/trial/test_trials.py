"""Tests of randomised trials with fixed seeds, and that they detect mutations."""

from __future__ import annotations

from typing import Any

import pytest

from plankspindle_daemon.exchange.exchange import Exchange
from plankspindle_daemon.idempotency.claim_attempt import ClaimAttempt
from plankspindle_daemon.idempotency.fingerprint import Fingerprint
from plankspindle_daemon.idempotency.issued_ids import IssuedIds
from plankspindle_daemon.idempotency.verdicts import RunIt
from plankspindle_daemon.upstreams.slot_ledger import SlotLedger
from plankspindle_daemon.upstreams.upstream_state import UpstreamState
from plankspindle_testkit.trial.shrinking import shrink
from plankspindle_testkit.trial.standard_trial import run_trial

SEEDS = range(1, 9)
MUTATION_SEEDS = range(1, 60)


@pytest.mark.parametrize("seed", SEEDS)
def test_guarantees_hold_under_faults(seed: int) -> None:
    result = run_trial(seed=seed, simulated_s=60.0)
    assert result.violation is None


def test_trials_serve_requests_despite_faults() -> None:
    results = [run_trial(seed=seed, simulated_s=60.0) for seed in SEEDS]
    requests = sum(result.requests for result in results)
    assert sum(result.done for result in results) > 0.2 * requests


@pytest.mark.parametrize("seed", SEEDS)
def test_slot_limit_holds_between_partitioned_vms(seed: int) -> None:
    result = run_trial(seed=seed, simulated_s=30.0, partitions=True)
    assert result.violation is None


def _claim_without_nonce(self: ClaimAttempt, row: Any) -> Any:
    if row.version == 0:
        return [self._write()]
    return self._settle(RunIt())


def _match_every_fingerprint(self: Fingerprint, other: object) -> bool:
    return True


def _run_every_repeat(self: IssuedIds, *_: Any) -> RunIt:
    return RunIt()


MUTATIONS = [
    (SlotLedger, "own_allowance", lambda self, now: self.share, "u"),
    (SlotLedger, "shrink_share", lambda self, share: None, "u"),
    (Exchange, "_retry_denial", lambda self: None, "non-idempotent-sent-once"),
    (UpstreamState, "_set_leaving", lambda self, **_: None, "while leaving"),
    (ClaimAttempt, "_handle_row", _claim_without_nonce, "ran twice"),
    (IssuedIds, "begin", _run_every_repeat, "ran twice"),
    (Fingerprint, "__eq__", _match_every_fingerprint, "was revealed to another caller"),
]


@pytest.mark.parametrize(
    ("owner", "name", "mutant", "expected_violation"),
    MUTATIONS,
    ids=[
        "lender-uses-lent-slots",
        "share-never-shrinks",
        "retry-what-may-have-run",
        "ignore-leaving",
        "drop-the-nonce",
        "run-repeats",
        "replay-to-another-caller",
    ],
)
def test_mutation_is_detected(
    monkeypatch: pytest.MonkeyPatch,
    owner: type,
    name: str,
    mutant: Any,
    expected_violation: str,
) -> None:
    monkeypatch.setattr(owner, name, mutant)
    found = (
        run_trial(seed=seed, simulated_s=60.0).violation for seed in MUTATION_SEEDS
    )
    violation = next((each for each in found if each is not None), "")
    assert expected_violation in violation


def test_failing_trial_shrinks_to_faults_that_it_needs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(UpstreamState, "_set_leaving", lambda self, **_: None)
    results = (run_trial(seed=seed, simulated_s=60.0) for seed in MUTATION_SEEDS)
    seed, found = next(
        (seed, each)
        for seed, each in zip(MUTATION_SEEDS, results, strict=False)
        if each.violation is not None
    )
    shortest = shrink(found, seed=seed)
    assert shortest.violation is not None
    assert "while leaving" in shortest.violation
    kinds = [fault.kind for fault in shortest.schedule]
    assert kinds == ["leave"]
    assert [line for line in shortest.trace if "fault" in line]
    assert len(found.schedule) > len(kinds)


def test_trial_is_deterministic() -> None:
    first, second = (run_trial(seed=3, simulated_s=20.0) for _ in range(2))
    assert first == second
