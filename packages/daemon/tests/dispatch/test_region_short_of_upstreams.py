"""Load test: a region with a tenth of the upstreams and a third of the callers.

Two thirds of its keys are planned for other regions. With few requests a second in
random order, a spill-over limit that counted planned requests sent some of them to
other upstreams, where a request without a cached key takes three times as long. All
upstreams are idle, so each request must run on the upstream planned for its key.
"""

from __future__ import annotations

from random import Random

import pytest

from plankspindle_daemon.dispatch.messages import Assign
from plankspindle_daemon.dispatch.messages import AttemptCompleted
from plankspindle_daemon.dispatch.messages import AttemptOutcome
from plankspindle_daemon.dispatch.messages import RequestArrived
from plankspindle_testkit.builders import build_reported_slots_dispatcher
from plankspindle_testkit.builders import build_reported_slots_upstream
from plankspindle_testkit.builders import build_ticket

LOCAL_UPSTREAMS, REMOTE_UPSTREAMS = 2, 18
VM_SHARE = 1 / 3
REQUESTS_PER_S = 9.0
DURATION_S = 30.0
KEYS = 170
WORK_S = 0.3


@pytest.mark.parametrize("seed", range(5))
def test_every_request_reaches_the_upstream_planned_for_its_key(seed: int) -> None:
    dispatcher = build_reported_slots_dispatcher()
    placement = dispatcher.placement
    assert placement is not None
    domains = {f"near-{each}": "ba-1" for each in range(LOCAL_UPSTREAMS)}
    domains |= {f"far-{each}": "ke-1" for each in range(REMOTE_UPSTREAMS)}
    for name, domain in domains.items():
        dispatcher.upstreams_by_name[name] = build_reported_slots_upstream(
            name, slots=6, failure_domain=domain
        )
    placement.rankings.set_upstreams(domains)
    placement.plan.update(
        local_slots=LOCAL_UPSTREAMS * 6.0,
        remote_slots=REMOTE_UPSTREAMS * 6.0,
        vm_share=VM_SHARE,
    )
    placement.limiter.set_capacity(LOCAL_UPSTREAMS * 6.0, 0.0)
    random = Random(seed)
    running: list[tuple[float, Assign]] = []
    upstreams_by_key: dict[str, set[str]] = {}
    now = 0.0
    for number in range(int(REQUESTS_PER_S * DURATION_S)):
        now += random.expovariate(REQUESTS_PER_S)
        while running and running[0][0] <= now:
            ended_at, assigned = running.pop(0)
            dispatcher.handle(_completion_of(assigned), ended_at)
        key = f"k{random.randrange(KEYS)}"
        ticket = build_ticket(number, affinity=key, deadline=now + 5.0)
        effects = dispatcher.handle(RequestArrived(ticket), now)
        [assigned] = [each for each in effects if isinstance(each, Assign)]
        running.append((now + WORK_S, assigned))
        upstreams_by_key.setdefault(key, set()).add(assigned.upstream)
    pairs = sum(len(each) for each in upstreams_by_key.values())
    assert pairs == len(upstreams_by_key)


def _completion_of(assigned: Assign) -> AttemptCompleted:
    return AttemptCompleted(
        ticket=assigned.ticket,
        upstream=assigned.upstream,
        outcome=AttemptOutcome.ANSWERED,
        head_s=WORK_S,
        total_s=WORK_S,
    )
