"""Requests that crash upstreams, at 9, 65 and 195 entry VMs.

Failure: the upstreams of a service crashed one after the other for 18 s, three times in
a row, and more than a tenth of its requests were not served. The service has 24
upstreams, each of which restarts within some seconds. One request caused 44 crashes: at
each retry it reached another entry VM under a new request id, was sent to a healthy
upstream, and was then retried at a second one.

Cause: no entry VM recorded which request an upstream was running when it crashed. Each
retry was a new request to its entry VM, and the retry budget is one per service, which
two retries a second do not exhaust. The request identities that entry VMs log now were
the same at each upstream that crashed, and quarantined requests crash none.
"""

from __future__ import annotations

import pytest
from attrs import evolve

from plankspindle_daemon.quarantine.crash_records import QUARANTINE_AFTER_CRASHES
from plankspindle_testkit.lab.lab_run import LabRun
from plankspindle_testkit.lab.mechanisms import override_constant
from plankspindle_testkit.lab.outcomes import Outcome
from plankspindle_testkit.lab.pattern import PATTERNS_FOLDER
from plankspindle_testkit.lab.pattern import EventKind
from plankspindle_testkit.lab.pattern import Pattern
from plankspindle_testkit.lab.pattern import PatternEvent
from plankspindle_testkit.lab.pattern import read_pattern

MAX_LATE_SENDS = 3
"""Sends that are tolerated after all entry VMs must know of the request."""
DETECTION_S = 3.0
"""Time from the third crash until all entry VMs must know of it, in seconds."""
SLOTS_PER_VM = 11
FIRST, SECOND = -1, -3


def build_pattern(vms: int) -> Pattern:
    """Return the pattern for a number of entry VMs.

    Load and upstreams grow with their number, to twice the original at most.
    """
    base = read_pattern(PATTERNS_FOLDER / "requests-that-crash-upstreams.yaml").unwrap()
    factor = vms / sum(base.vms_by_domain.values())
    look = base.services_by_name["look"]
    look_up = base.operations_by_name["look-up"]
    domains = base.region_by_domain
    vms_by_domain = {
        domain: vms // len(domains) + (number < vms % len(domains))
        for number, domain in enumerate(domains)
    }
    upstreams = {
        domain: round(number * min(factor, 2.0))
        for domain, number in look.upstreams_by_domain.items()
    }
    return evolve(
        base,
        vms_by_domain=base.vms_by_domain if factor == 1 else vms_by_domain,
        services_by_name={"look": evolve(look, upstreams_by_domain=upstreams)},
        operations_by_name={
            "look-up": evolve(look_up, per_s=look_up.per_s * min(factor, 2.0))
        },
    )


@pytest.mark.parametrize(("vms", "seed"), [(9, 1), (9, 2), (9, 3), (65, 1), (195, 1)])
def test_crashing_request_is_quarantined_and_others_are_served(
    vms: int, seed: int
) -> None:
    run = LabRun(pattern=build_pattern(vms), seed=seed)
    outcomes = run.run()
    for request in (FIRST, SECOND):
        assert (
            run.crashes.count_late_sends(request, within_s=DETECTION_S)
            <= MAX_LATE_SENDS
        )
    last_s = range(20, 22)
    served = [
        1 - outcomes.by_window[window][Outcome.FAILED] / total
        for window in last_s
        if (total := outcomes.by_window[window].total())
    ]
    assert min(served) > 0.99


@pytest.mark.parametrize("loss", [0.3])
def test_crashing_request_is_quarantined_despite_message_loss(loss: float) -> None:
    run = LabRun(pattern=build_pattern(9), seed=5)
    run.network.loss = loss
    run.run()
    for request in (FIRST, SECOND):
        assert (
            run.crashes.count_late_sends(request, within_s=DETECTION_S)
            <= MAX_LATE_SENDS
        )


def test_each_partition_quarantines_a_crashing_request() -> None:
    run = LabRun(pattern=build_pattern(9), seed=6)
    run.network.is_cut = lambda one, other: one[0] != other[0]
    run.run()
    regions = 3
    crashed = len(run.crashes.crashed_at_by_identity[FIRST])
    assert crashed <= regions * (QUARANTINE_AFTER_CRASHES + MAX_LATE_SENDS)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_requests_in_flight_during_unrelated_crashes_are_not_quarantined(
    seed: int,
) -> None:
    """Half of the upstreams crash for another reason, at once, three times in a row.

    A third of the requests are identical, so that they are in flight at each of them.
    """
    base = build_pattern(9)
    look_up = base.operations_by_name["look-up"]
    ends = tuple(
        PatternEvent(kind=EventKind.END, at_s=at_s, for_s=1.0, share=0.5)
        for at_s in (4.0, 6.0, 8.0)
    )
    affected = evolve(
        base,
        seconds=14.0,
        operations_by_name={"look-up": evolve(look_up, same_part=1 / 3)},
        events=ends,
    )
    run = LabRun(pattern=affected, seed=seed)
    outcomes = run.run()
    refused = sum(vm.quarantine.requests_refused for vm in run.vms())
    assert refused == 0
    failed = outcomes.by_outcome[Outcome.FAILED]
    with override_constant("quarantine.crash_records", "WATCH_AFTER_CRASHES", 1e9):
        without = LabRun(pattern=affected, seed=seed).run()
    assert failed <= without.by_outcome[Outcome.FAILED]
    assert failed < 0.01 * outcomes.by_outcome.total()
