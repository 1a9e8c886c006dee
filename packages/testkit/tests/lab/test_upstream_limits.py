"""Upstreams that name a limit over all entry VMs, at 9, 67 and 195 of them.

Seen: two upstreams that had named limits of 4.6 and 6 requests a second got 74 and 64
in 4 s from nine entry VMs that had relayed their answers, where 33 and 41 were allowed.
"""

from __future__ import annotations

from collections import Counter

import pytest
from attrs import evolve

from plankspindle_daemon.dispatch.messages import RejectReason
from plankspindle_testkit.lab.lab_run import LabRun
from plankspindle_testkit.lab.pattern import PATTERNS_FOLDER
from plankspindle_testkit.lab.pattern import Pattern
from plankspindle_testkit.lab.pattern import read_pattern


def pattern(vms: int) -> Pattern:
    """Give the pattern with more entry VMs, and twice the load from 18 of them on."""
    small = read_pattern(PATTERNS_FOLDER / "upstreams-that-name-limits.yaml").unwrap()
    if vms == sum(small.vms_by_domain.values()):
        return small
    look = small.services_by_name["look"]
    look_up = small.operations_by_name["look-up"]
    domains = small.region_by_domain
    return evolve(
        small,
        vms_by_domain={
            domain: vms // len(domains) + (number < vms % len(domains))
            for number, domain in enumerate(domains)
        },
        services_by_name={
            "look": evolve(
                look,
                upstreams_by_domain={
                    domain: 2 * number
                    for domain, number in look.upstreams_by_domain.items()
                },
            )
        },
        operations_by_name={"look-up": evolve(look_up, per_s=2 * look_up.per_s)},
    )


@pytest.mark.parametrize(("vms", "seed"), [(9, 1), (9, 2), (67, 1), (195, 1)])
def test_an_upstream_gets_no_more_than_the_limit_it_names(vms: int, seed: int) -> None:
    run = LabRun(pattern=pattern(vms), seed=seed)
    run.run()
    assert run.statements.limit_by_upstream
    assert run.statements.max_share_of_allowed() <= 1.0


@pytest.mark.parametrize(("share", "silent_part"), [(0.3, 0.1), (1.0, 0.02)])
def test_answers_that_leave_the_limit_out_now_and_then_do_not_end_it(
    share: float, silent_part: float
) -> None:
    """Some upstreams, or all of them; a limit that flaps lets whole bursts through."""
    small = pattern(9)
    struck = evolve(small, events=(evolve(small.events[0], share=share),))
    run = LabRun(pattern=struck, seed=1)
    for upstream in run.upstreams():
        upstream.omitted_statement_share = silent_part
    run.run()
    assert run.statements.max_share_of_allowed() <= 1.0


def test_requests_that_limits_leave_no_room_for_are_rejected_at_once() -> None:
    """All upstreams name a quarter of what they get: most requests cannot be served."""
    small = pattern(9)
    struck = evolve(small, events=(evolve(small.events[0], share=1.0),))
    run = LabRun(pattern=struck, seed=1)
    run.run()
    rejected: Counter[RejectReason] = Counter()
    for vm in run.vms():
        for dispatcher in vm.registry.dispatchers_by_service.values():
            rejected.update(dispatcher.rejections.count_by_reason)
    assert rejected[RejectReason.WITHHELD] > 0.8 * rejected.total()
    named = run.statements.limit_by_upstream
    assert sum(map(run.statements.used_share, named)) / len(named) > 0.9
