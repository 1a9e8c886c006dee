"""Tests that each check of crashing requests can fail, and does not without cause."""

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
from soak.upstreams import Run
from soak.upstreams import Upstream
from soak.upstreams import Upstreams

PATH = "/m0/crashing-0"
VM = "edge-0"
THIRD_AT = 12.0
DUE = THIRD_AT + Bounds.of_seed(0).contact


def build(*, crashes: int = 3) -> CrashingRequests:
    layout = Layout(vms=1, first_port=28_700)
    upstreams = Upstreams(
        layout=layout,
        store=SoakStore(Random(1)),
        random=Random(1),
        drain_s=1.0,
        per_service_and_zone=1,
    )
    upstreams.crashed_at_by_path[PATH] = [10.0, 11.0, THIRD_AT, 13.0][:crashes]
    checks = Checks(
        bounds=Bounds.of_seed(0),
        history=History(random=Random(1)),
        disturbances=Disturbances(contact_s=Bounds.of_seed(0).contact),
    )
    return CrashingRequests(
        checks=checks, upstreams=upstreams, front=layout.front, vms=[VM], seed=1
    )


def send(crashers: CrashingRequests, at: float, *, runs: bool, **fields: Any) -> None:
    tries = crashers.attempts_by_path.setdefault(PATH, [])
    given = {"request": f"{len(tries)}", "vm": VM, "sent_at": at, "ended_at": at + 0.1}
    tries.append(Attempt(**{**given, "status": 502 if runs else 503, **fields}))
    if runs:
        endpoint = crashers.front(VM)
        upstream = Upstream(name="i-0", service="desk", zone="", endpoint=endpoint)
        found = [Run(at=upstream, arrived_at=at + 0.05)]
        crashers.upstreams.runs_by_id[tries[-1].request] = found


def broken(crashers: CrashingRequests) -> list[str]:
    crashers.check()
    return [each.check for each in crashers.checks.violations]


@pytest.mark.parametrize(("times", "found"), [(3, []), (4, ["held back"])])
def test_a_request_may_be_sent_on_three_times(times: int, found: list[str]) -> None:
    crashers = build()
    for number in range(times):
        send(crashers, DUE + 1 + number, runs=True)
    assert broken(crashers) == found


def test_what_was_sent_in_time_or_before_the_third_end_does_not_count() -> None:
    crashers = build()
    for number in range(9):
        send(crashers, DUE - 0.9 + number / 20, runs=True)
    assert broken(crashers) == []
    few = build(crashes=2)
    for number in range(9):
        send(few, DUE + number, runs=True)
    assert broken(few) == []


def test_a_vm_that_was_disturbed_does_not_count() -> None:
    crashers = build()
    crashers.checks.disturbances.begin([VM], DUE).end = DUE + 20
    for number in range(9):
        send(crashers, DUE + 1 + number, runs=True)
    assert broken(crashers) == []


def test_a_try_that_ran_and_is_told_as_not_run_is_found() -> None:
    crashers = build()
    send(crashers, 10.0, runs=True, status=503)
    assert broken(crashers) == ["not run"]


def test_a_request_that_is_held_back_and_not_told_at_once_is_found() -> None:
    crashers = build()
    send(crashers, DUE + 1, runs=False, ended_at=DUE + 2)
    assert broken(crashers) == ["at once"]
