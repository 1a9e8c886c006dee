"""Tests of issued request ids."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from plankspindle_daemon.idempotency.fingerprint import Fingerprint
from plankspindle_daemon.idempotency.issued_ids import IssuedIds
from plankspindle_daemon.idempotency.recorded_answer import RecordedAnswer
from plankspindle_daemon.idempotency.verdicts import AnsweredUnrecorded
from plankspindle_daemon.idempotency.verdicts import Foreign
from plankspindle_daemon.idempotency.verdicts import InProgress
from plankspindle_daemon.idempotency.verdicts import Invalid
from plankspindle_daemon.idempotency.verdicts import Mismatch
from plankspindle_daemon.idempotency.verdicts import NoMemory
from plankspindle_daemon.idempotency.verdicts import Replay
from plankspindle_daemon.idempotency.verdicts import RunIt

TRANSFER = Fingerprint(caller="dealer", digest="aa")
ANSWER = RecordedAnswer(status=200, headers=[], body=b"done")


def build_ids(*, incarnation: int = 7, max_retained: int = 10) -> IssuedIds:
    return IssuedIds(
        vm="ba-1-a",
        incarnation=incarnation,
        secret=b"s" * 32,
        ttl_s=60.0,
        retention_s=100.0,
        max_retained=max_retained,
    )


def test_request_with_an_id_runs_once_and_is_replayed_only_to_its_caller() -> None:
    ids = build_ids()
    text = ids.issue(0.0)
    assert ids.begin(text, TRANSFER, 1.0) == RunIt()
    assert ids.begin(text, TRANSFER, 1.0) == InProgress()
    ids.finish(text, ANSWER)
    assert ids.begin(text, TRANSFER, 2.0) == Replay(ANSWER)
    other = Fingerprint(caller="somebody-else", digest="aa")
    assert ids.begin(text, other, 2.0) == Mismatch()
    changed = Fingerprint(caller="dealer", digest="bb")
    assert ids.begin(text, changed, 2.0) == Mismatch()


def test_id_of_an_earlier_incarnation_is_foreign() -> None:
    text = build_ids(incarnation=7).issue(0.0)
    restarted = build_ids(incarnation=8)
    assert restarted.begin(text, TRANSFER, 1.0) == Foreign("ba-1-a", 7)


def test_forged_or_expired_id_is_invalid() -> None:
    ids = build_ids()
    text = ids.issue(0.0)
    forged = text[:-1] + ("0" if text[-1] != "0" else "1")
    assert ids.begin(forged, TRANSFER, 1.0) == Invalid()
    assert ids.begin(text, TRANSFER, 61.0) == Invalid()
    assert ids.begin("nonsense", TRANSFER, 1.0) == Invalid()


def test_used_id_is_retained_past_its_expiry_and_then_invalid() -> None:
    ids = build_ids()
    text = ids.issue(0.0)
    ids.begin(text, TRANSFER, 59.0)
    ids.finish(text, None)
    ids.expire(120.0)
    assert ids.begin(text, TRANSFER, 120.0) == AnsweredUnrecorded()
    ids.expire(161.0)
    assert ids.retained == 0
    assert ids.begin(text, TRANSFER, 161.0) == Invalid()


def test_new_id_is_rejected_when_the_maximum_is_retained() -> None:
    ids = build_ids(max_retained=1)
    first, second = ids.issue(0.0), ids.issue(0.0)
    assert ids.begin(first, TRANSFER, 0.0) == RunIt()
    assert ids.begin(second, TRANSFER, 0.0) == NoMemory()
    ids.release(first)
    assert ids.begin(second, TRANSFER, 0.0) == RunIt()


@given(text=st.text(max_size=120))
def test_arbitrary_text_is_an_invalid_id(text: str) -> None:
    assert build_ids().begin(text, TRANSFER, 0.0) == Invalid()
