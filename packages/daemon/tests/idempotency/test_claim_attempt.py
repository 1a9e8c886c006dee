"""Tests of claims under lost answers, delayed writes and concurrent attempts."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from plankspindle_daemon.idempotency import claim_attempt as c
from plankspindle_daemon.idempotency.claim_row import ClaimRow
from plankspindle_daemon.idempotency.claim_row import ClaimState
from plankspindle_daemon.idempotency.claim_row import claim_row_from_mapping
from plankspindle_daemon.idempotency.fingerprint import Fingerprint
from plankspindle_daemon.idempotency.recorded_answer import RecordedAnswer
from plankspindle_daemon.idempotency.verdicts import Mismatch
from plankspindle_daemon.idempotency.verdicts import Replay
from plankspindle_daemon.idempotency.verdicts import RunIt
from plankspindle_daemon.platform.table import Row
from plankspindle_daemon.platform.table import RowWrite
from plankspindle_testkit.platform_stand_in.table_store import TableStore

KEY = "claims/registry/k"
ANSWER = RecordedAnswer(status=201, headers=[(b"a", b"b")], body=b"done")


class ClaimMachine(RuleBasedStateMachine):
    """Run concurrent attempts against a store that loses answers and delays writes."""

    def __init__(self) -> None:
        super().__init__()
        self.table = TableStore()
        self.attempts: list[tuple[c.ClaimAttempt, list[c.ClaimEffect]]] = []
        self.delayed: list[RowWrite] = []
        self.running: list[ClaimRow] = []
        self.runs = 0
        self.number = 0

    def _commit(self, write: RowWrite) -> bool:
        mapping = {
            "key": write.key,
            "expected_version": write.expected_version,
            "value": write.value,
        }
        return not self.table.commit([mapping])

    @rule()
    def begin(self) -> None:
        self.number += 1
        row = ClaimRow(
            fingerprint=Fingerprint(caller="dealer", digest="aa"),
            nonce=str(self.number),
            state=ClaimState.CLAIMED,
            expires_at=1.0,
        )
        attempt = c.ClaimAttempt(key=KEY, claim_row=row)
        self.attempts.append((attempt, attempt.begin()))

    @precondition(lambda self: self.attempts)
    @rule(
        data=st.data(),
        fault=st.sampled_from(["none", "answer-lost", "delayed", "down"]),
    )
    def step(self, data: st.DataObject, fault: str) -> None:
        index = data.draw(st.integers(0, len(self.attempts) - 1))
        attempt, effects = self.attempts.pop(index)
        event = self._event(effects[-1], fault)
        next_effects = attempt.handle(event)
        if not attempt.done:
            self.attempts.append((attempt, next_effects))
            return
        settled = next_effects[-1]
        assert isinstance(settled, c.Settled)
        if settled.verdict == RunIt():
            self.runs += 1
            self.running.append(attempt.claim_row)
            assert self.runs <= 1

    def _event(self, effect: c.ClaimEffect, fault: str) -> c.ClaimEvent:
        match effect:
            case c.WriteRow(write=write):
                if fault == "delayed":
                    self.delayed.append(write)
                took_effect = fault in ("none", "answer-lost") and self._commit(write)
                return (
                    c.WriteAnswered(took_effect)
                    if fault == "none"
                    else c.WriteUnanswered()
                )
            case c.ReadRow():
                if fault != "none":
                    return c.ReadUnanswered()
                row = self.table.read(KEY)
                return c.RowRead(Row(key=KEY, version=row.version, value=row.value))
            case c.Settled():
                raise AssertionError

    @precondition(lambda self: self.attempts)
    @rule()
    def deadline_passes(self) -> None:
        attempt, _ = self.attempts.pop()
        settled = attempt.handle(c.DeadlineExceeded())[-1]
        assert isinstance(settled, c.Settled)
        assert settled.verdict != RunIt()

    @precondition(lambda self: self.delayed)
    @rule()
    def delayed_write_takes_effect(self) -> None:
        self._commit(self.delayed.pop())

    @precondition(lambda self: self.running)
    @rule(not_run=st.booleans())
    def request_completes(self, not_run: bool) -> None:
        row = self.running.pop()
        if not_run:
            self.runs -= 1
        closed = row.released() if not_run else row.finished(ANSWER)
        stored = self.table.read(KEY)
        found = claim_row_from_mapping(stored.value).unwrap()
        assert found.nonce == row.nonce
        assert self._commit(
            RowWrite(
                key=KEY, expected_version=stored.version, value=closed.to_mapping()
            )
        )


TestClaims = ClaimMachine.TestCase


def _settle(stored: ClaimRow, fingerprint: Fingerprint) -> c.ClaimEffect:
    claim_row = ClaimRow(
        fingerprint=fingerprint,
        nonce="mine",
        state=ClaimState.CLAIMED,
        expires_at=1.0,
    )
    attempt = c.ClaimAttempt(key=KEY, claim_row=claim_row)
    attempt.begin()
    attempt.handle(c.WriteAnswered(False))
    return attempt.handle(
        c.RowRead(Row(key=KEY, version=3, value=stored.to_mapping()))
    )[-1]


def test_answer_of_a_finished_key_is_replayed_only_to_the_same_request() -> None:
    same = Fingerprint(caller="dealer", digest="aa")
    stored = ClaimRow(
        fingerprint=same, nonce="first", state=ClaimState.CLAIMED, expires_at=1.0
    ).finished(ANSWER)
    assert _settle(stored, same) == c.Settled(Replay(ANSWER))
    other = Fingerprint(caller="desk", digest="aa")
    assert _settle(stored, other) == c.Settled(Mismatch())
