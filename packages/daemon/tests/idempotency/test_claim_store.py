"""Tests of closing the claims of completed requests."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from typing import cast

from attrs import evolve

from plankspindle_core.supervisor import Supervisor
from plankspindle_daemon.idempotency.claim_row import ClaimRow
from plankspindle_daemon.idempotency.claim_row import ClaimState
from plankspindle_daemon.idempotency.claim_row import claim_row_from_mapping
from plankspindle_daemon.idempotency.claim_store import ClaimStore
from plankspindle_daemon.idempotency.fingerprint import Fingerprint
from plankspindle_daemon.platform.table import ABSENT
from plankspindle_daemon.platform.table import RowWrite
from plankspindle_daemon.platform.table import Transaction
from plankspindle_testkit.trial.fake_platform import FakePlatform
from plankspindle_testkit.trial.fake_platform import run_to_completion

if TYPE_CHECKING:
    from plankspindle_daemon.platform.platform_client import PlatformClient

KEY = "claims/k1"
CLAIM = ClaimRow(
    fingerprint=Fingerprint(caller="dealer", digest="aa"),
    nonce="n1",
    state=ClaimState.CLAIMED,
    expires_at=99.0,
)


def build_store(platform: FakePlatform) -> ClaimStore:
    return ClaimStore(
        platform=cast("PlatformClient", platform),
        random=Random(1),
        supervisor=Supervisor(),
    )


def insert_claim(platform: FakePlatform) -> bool:
    write = RowWrite(key=KEY, expected_version=ABSENT, value=CLAIM.to_mapping())
    return run_to_completion(platform.commit(Transaction(writes=[write]))).is_ok()


def state_of(platform: FakePlatform) -> ClaimState:
    row = run_to_completion(platform.read_row(KEY))
    return claim_row_from_mapping(row.unwrap().value).unwrap().state


def test_claim_is_released_when_its_insert_arrives_after_the_closing_read() -> None:
    platform = FakePlatform(random=Random(1), fault_rate=0.0)
    store = build_store(platform)
    store.close_claim(KEY, CLAIM.released())
    run_to_completion(store.close_ended_claims())
    assert not insert_claim(platform)
    run_to_completion(store.close_ended_claims())
    assert state_of(platform) is ClaimState.RELEASED
    assert not store.unclosed_by_nonce


def test_written_claim_is_released() -> None:
    platform = FakePlatform(random=Random(1), fault_rate=0.0)
    store = build_store(platform)
    assert insert_claim(platform)
    store.close_claim(KEY, CLAIM.released())
    run_to_completion(store.close_ended_claims())
    run_to_completion(store.close_ended_claims())
    assert state_of(platform) is ClaimState.RELEASED
    assert not store.unclosed_by_nonce


def test_claim_of_another_attempt_is_not_closed() -> None:
    platform = FakePlatform(random=Random(1), fault_rate=0.0)
    store = build_store(platform)
    assert insert_claim(platform)
    store.close_claim(KEY, evolve(CLAIM, nonce="n2").released())
    run_to_completion(store.close_ended_claims())
    assert state_of(platform) is ClaimState.CLAIMED
    assert not store.unclosed_by_nonce


def test_claim_is_released_although_a_second_attempt_is_closed_too() -> None:
    platform = FakePlatform(random=Random(1), fault_rate=0.0)
    store = build_store(platform)
    assert insert_claim(platform)
    store.close_claim(KEY, CLAIM.released())
    store.close_claim(KEY, evolve(CLAIM, nonce="n2").released())
    for _ in range(3):
        run_to_completion(store.close_ended_claims())
    assert state_of(platform) is ClaimState.RELEASED
    assert not store.unclosed_by_nonce
