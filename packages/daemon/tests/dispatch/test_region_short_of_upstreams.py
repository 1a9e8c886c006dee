"""Load: a region with a tenth of the upstreams and a third of the callers.

Two thirds of its keys are planned for other regions. Each entry VM sees few requests a
second, in chance order, and all upstreams are idle: each request is to meet the
upstream planned for its key, since any other one takes three times as long.
"""

from __future__ import annotations

from random import Random

import pytest

from plankspindle_daemon.dispatch.messages import Assign
from plankspindle_daemon.dispatch.messages import AttemptCompleted
from plankspindle_daemon.dispatch.messages import AttemptOutcome
from plankspindle_daemon.dispatch.messages import RequestArrived
from plankspindle_testkit.builders import build_reported_upstream
from plankspindle_testkit.builders import build_reporting_dispatcher
from plankspindle_testkit.builders import build_ticket

NEAR, FAR = 2, 18
CALLERS = 1 / 3
PER_S = 9.0
SECONDS = 30.0
KEYS = 170
WORK_S = 0.3


@pytest.mark.parametrize("seed", range(5))
def test_no_request_is_turned_from_the_region_planned_for_its_key(seed: int) -> None:
    dispatcher = build_reporting_dispatcher()
    placement = dispatcher.placement
    assert placement is not None
    domains = {f"near-{each}": "ba-1" for each in range(NEAR)}
    domains |= {f"far-{each}": "ke-1" for each in range(FAR)}
    for name, domain in domains.items():
        dispatcher.upstreams_by_name[name] = build_reported_upstream(
            name, slots=6, failure_domain=domain
        )
    placement.rankings.set_upstreams(domains)
    placement.plan.update(
        local_slots=NEAR * 6.0, remote_slots=FAR * 6.0, vm_share=CALLERS
    )
    placement.limiter.set_capacity(NEAR * 6.0, 0.0)
    random = Random(seed)
    running: list[tuple[float, Assign]] = []
    upstreams_by_key: dict[str, set[str]] = {}
    now = 0.0
    for number in range(int(PER_S * SECONDS)):
        now += random.expovariate(PER_S)
        while running and running[0][0] <= now:
            ended_at, assigned = running.pop(0)
            dispatcher.handle(_answer_to(assigned), ended_at)
        key = f"k{random.randrange(KEYS)}"
        ticket = build_ticket(number, affinity=key, deadline=now + 5.0)
        effects = dispatcher.handle(RequestArrived(ticket), now)
        [assigned] = [each for each in effects if isinstance(each, Assign)]
        running.append((now + WORK_S, assigned))
        upstreams_by_key.setdefault(key, set()).add(assigned.upstream)
    learned = sum(len(each) for each in upstreams_by_key.values())
    assert learned == len(upstreams_by_key)


def _answer_to(assigned: Assign) -> AttemptCompleted:
    return AttemptCompleted(
        ticket=assigned.ticket,
        upstream=assigned.upstream,
        outcome=AttemptOutcome.ANSWERED,
        head_s=WORK_S,
        total_s=WORK_S,
    )
