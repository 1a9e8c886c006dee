"""Tests that the checks of crashing requests detect violations, and only these."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest
from soak.checks import Checks
from soak.crashing_requests import Attempt
from soak.crashing_requests import CrashingRequests
from soak.history import Disturbances
from soak.history import History
from soak.layout import Bounds
from soak.layout import Layout
from soak.soak_store import SoakStore
from soak.upstream import Run
from soak.upstream import Upstream
from soak.upstreams import Upstreams

PATH = "/m0/crashing-0"
VM = "edge-0"
THIRD_CRASH_AT = 12.0
QUARANTINED_AT = THIRD_CRASH_AT + Bounds.of_seed(0).contact


def build(*, crashes: int = 3) -> CrashingRequests:
    layout = Layout(vms=1, first_port=28_700)
    upstreams = Upstreams(
        layout=layout,
        store=SoakStore(Random(1)),
        random=Random(1),
        drain_s=1.0,
        per_service_and_zone=1,
    )
    upstreams.crashed_at_by_path[PATH] = [10.0, 11.0, THIRD_CRASH_AT, 13.0][:crashes]
    checks = Checks(
        bounds=Bounds.of_seed(0),
        history=History(random=Random(1)),
        disturbances=Disturbances(contact_s=Bounds.of_seed(0).contact),
    )
    return CrashingRequests(
        checks=checks, upstreams=upstreams, front=layout.front, vms=[VM], seed=1
    )


def send(
    crashing_requests: CrashingRequests, at: float, *, runs: bool, **fields: Any
) -> None:
    attempts = crashing_requests.attempts_by_path.setdefault(PATH, [])
    defaults = {
        "request": f"{len(attempts)}",
        "vm": VM,
        "sent_at": at,
        "ended_at": at + 0.1,
    }
    attempts.append(Attempt(**{**defaults, "status": 502 if runs else 503, **fields}))
    if runs:
        endpoint = crashing_requests.front(VM)
        upstream = Upstream(name="i-0", service="desk", zone="", endpoint=endpoint)
        found = [Run(at=upstream, arrived_at=at + 0.05)]
        crashing_requests.upstreams.runs_by_id[attempts[-1].request] = found


def violations(crashing_requests: CrashingRequests) -> list[str]:
    crashing_requests.check()
    return [each.check for each in crashing_requests.checks.violations]


@pytest.mark.parametrize(("times", "found"), [(3, []), (4, ["held back"])])
def test_forwarding_more_than_three_times_is_a_violation(
    times: int, found: list[str]
) -> None:
    crashing_requests = build()
    for number in range(times):
        send(crashing_requests, QUARANTINED_AT + 1 + number, runs=True)
    assert violations(crashing_requests) == found


def test_attempts_before_deadline_or_third_crash_do_not_count() -> None:
    crashing_requests = build()
    for number in range(9):
        send(crashing_requests, QUARANTINED_AT - 0.9 + number / 20, runs=True)
    assert violations(crashing_requests) == []
    two_crashes = build(crashes=2)
    for number in range(9):
        send(two_crashes, QUARANTINED_AT + number, runs=True)
    assert violations(two_crashes) == []


def test_attempts_at_disturbed_vm_do_not_count() -> None:
    crashing_requests = build()
    crashing_requests.checks.disturbances.begin([VM], QUARANTINED_AT).end = (
        QUARANTINED_AT + 20
    )
    for number in range(9):
        send(crashing_requests, QUARANTINED_AT + 1 + number, runs=True)
    assert violations(crashing_requests) == []


def test_false_not_run_answer_is_a_violation() -> None:
    crashing_requests = build()
    send(crashing_requests, 10.0, runs=True, status=503)
    assert violations(crashing_requests) == ["not run"]


def test_late_answer_to_quarantined_request_is_a_violation() -> None:
    crashing_requests = build()
    send(crashing_requests, QUARANTINED_AT + 1, runs=False, ended_at=QUARANTINED_AT + 2)
    assert violations(crashing_requests) == ["at once"]
