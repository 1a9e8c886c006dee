"""Tests of dispatchers whose upstreams run several software versions."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import TYPE_CHECKING

import pytest

from plankspindle_core.invariants import InvariantError
from plankspindle_daemon.dispatch import messages as d
from plankspindle_daemon.dispatch.dispatcher import MAX_SCANNED_REQUESTS
from plankspindle_daemon.dispatch.version_gate import UpstreamSet
from plankspindle_daemon.dispatch.version_gate import is_in_share
from plankspindle_daemon.upstreams.cold_limiter import ColdLimiter
from plankspindle_testkit.builders import build_dispatcher
from plankspindle_testkit.builders import build_ticket
from plankspindle_testkit.builders import build_upstream
from plankspindle_testkit.version_builders import build_canary_split
from plankspindle_testkit.version_builders import build_split
from plankspindle_testkit.version_builders import build_versioned_dispatcher

if TYPE_CHECKING:
    from plankspindle_daemon.dispatch.dispatcher import Dispatcher
    from plankspindle_daemon.dispatch.version_split import VersionSplit


def arrive(
    dispatcher: Dispatcher, number: int, now: float = 0.0, **fields: object
) -> list[d.DispatchEffect]:
    ticket = build_ticket(number, **{"deadline": now + 10.0, **fields})
    return dispatcher.handle(d.RequestArrived(ticket), now)


def assigned(effects: list[d.DispatchEffect]) -> list[str]:
    return [each.upstream for each in effects if isinstance(each, d.Assign)]


def run(dispatcher: Dispatcher, count: int, *, keys: int = 0) -> Counter[str]:
    """Send requests that are answered at once; count them by upstream."""
    sent: Counter[str] = Counter()
    for number in range(count):
        key = f"k{number % keys}" if keys else None
        now = 0.01 * number
        (upstream,) = assigned(arrive(dispatcher, number, now, affinity=key))
        sent[upstream] += 1
        finish(dispatcher, number, upstream, now + 0.005, affinity=key)
    return sent


def finish(
    dispatcher: Dispatcher, number: int, upstream: str, now: float, **fields: object
) -> list[d.DispatchEffect]:
    completed = d.AttemptCompleted(
        ticket=build_ticket(number, **fields),
        upstream=upstream,
        outcome=d.AttemptOutcome.ANSWERED,
        head_s=0.1,
        total_s=0.1,
        status=200,
    )
    return dispatcher.handle(completed, now)


def by_version(sent: Counter[str]) -> dict[str, int]:
    counts: Counter[str] = Counter()
    for name, count in sent.items():
        counts[name.partition("-")[0]] += count
    return dict(counts)


def room(dispatcher: Dispatcher, *software_versions: str) -> int:
    """Return the number of requests that may run at upstreams of some versions."""
    return sum(
        each.usable_slots(9.0)
        for name, each in dispatcher.upstreams_by_name.items()
        if name.partition("-")[0] in software_versions
    )


@pytest.mark.parametrize("keys", [0, 40])
def test_only_the_version_in_force_and_unnamed_ones_are_used(keys: int) -> None:
    dispatcher = build_versioned_dispatcher(v1=4, unnamed=2, v2=4, v3=4)
    dispatcher.set_version_split(build_split())
    assert set(by_version(run(dispatcher, 400, keys=keys))) == {"v1", "unnamed"}
    assert dispatcher.versions.gate.requests == 400
    assert dispatcher.capacity(9.0) == room(dispatcher, "v1", "unnamed")
    assert dispatcher.free_slots(9.0) == room(dispatcher, "v1", "unnamed")


@pytest.mark.parametrize("keys", [0, 40])
def test_canary_uses_few_upstreams_within_its_share(keys: int) -> None:
    dispatcher = build_versioned_dispatcher(v1=4, v2=8)
    dispatcher.set_version_split(build_canary_split())
    sent = run(dispatcher, 400, keys=keys)
    used = {name for name in sent if name.startswith("v2")}
    assert 1 <= len(used) <= 2
    assert 40 < by_version(sent)["v2"] == dispatcher.versions.gate.exposed <= 100


def test_key_keeps_its_planned_upstream_of_each_version() -> None:
    dispatcher = build_versioned_dispatcher(v1=8, v2=8)
    dispatcher.set_version_split(build_split())
    before = {
        f"k{n}": assigned(arrive(dispatcher, n, affinity=f"k{n}")) for n in range(40)
    }
    dispatcher.set_version_split(build_split(target_share=0.5))
    moved = 0
    for number, (key, upstream) in enumerate(before.items()):
        again = assigned(arrive(dispatcher, 100 + number, affinity=key))
        assert again == assigned(arrive(dispatcher, 200 + number, affinity=key))
        moved += again != upstream
        assert again == upstream or again[0].startswith("v2")
    assert 10 < moved < 30


def test_busy_canary_sends_its_requests_to_the_baseline_at_once() -> None:
    dispatcher = build_versioned_dispatcher(slots=2, v1=20, v2=1)
    dispatcher.set_version_split(build_canary_split(target_share=1.0))
    dispatcher.versions.gate.requests = 1_000
    sent = [assigned(arrive(dispatcher, number)) for number in range(20)]
    assert all(sent)
    busy = dispatcher.upstreams_by_name["v2-0"]
    assert busy.ledger.in_flight == busy.usable_slots(0.0) < 20


def test_cold_upstreams_get_no_canary_requests() -> None:
    dispatcher = build_versioned_dispatcher(v1=1, v2=1)
    cold = dispatcher.upstreams_by_name["v2-0"]
    cold.cold_limiter = ColdLimiter(rate_per_s=1_000.0, until=100.0)
    dispatcher.set_version_split(build_canary_split(target_share=1.0))
    assert by_version(run(dispatcher, 50)) == {"v1": 50}
    dispatcher.set_version_split(build_split(target_share=1.0))
    assert assigned(arrive(dispatcher, 99, 9.0)) == ["v2-0"]


def test_moved_request_waits_for_the_target_until_a_halt() -> None:
    dispatcher = build_versioned_dispatcher(slots=1, v1=2, v2=1)
    dispatcher.set_version_split(build_split(target_share=1.0))
    numbers = range(4)
    started = [number for number in numbers if assigned(arrive(dispatcher, number))]
    assert len(started) < 4
    assert dispatcher.upstreams_by_name["v1-0"].ledger.in_flight == 0
    dispatcher.set_version_split(build_split())
    effects = dispatcher.handle(d.TimePassed(), 0.1)
    assert assigned(effects)
    assert all(each.startswith("v1") for each in assigned(effects))


def test_waiting_request_is_judged_anew_when_the_baseline_ends() -> None:
    dispatcher = build_versioned_dispatcher(slots=1, v1=1, v2=1)
    dispatcher.set_version_split(build_split(baseline_ends_at=1.0))
    number = 0
    while assigned(arrive(dispatcher, number)) == ["v1-0"]:
        number += 1
    assert not assigned(dispatcher.handle(d.TimePassed(), 0.5))
    assert assigned(dispatcher.handle(d.TimePassed(), 0.9)) == ["v2-0"]


def test_requests_that_wait_for_one_version_do_not_block_the_other() -> None:
    dispatcher = build_versioned_dispatcher(slots=1, v1=40, v2=1)
    dispatcher.set_version_split(build_split(target_share=0.5))
    sent = [assigned(arrive(dispatcher, number)) for number in range(80)]
    assert len(dispatcher.queue) > MAX_SCANNED_REQUESTS
    assert not any(each.startswith("v2") for (each,) in filter(None, sent[40:]))
    waiting = {ticket.id for ticket in dispatcher.queue}
    split = dispatcher.versions.gate.split
    assert split is not None
    assert all(is_in_share(split, build_ticket(number)) for number in waiting)


def test_retry_of_a_request_that_failed_at_the_target_goes_to_the_baseline() -> None:
    dispatcher = build_versioned_dispatcher(v1=2, v2=2)
    dispatcher.set_version_split(build_split(target_share=1.0))
    ((first),) = assigned(arrive(dispatcher, 1))
    assert first.startswith("v2")
    assert dispatcher.could_place_elsewhere(build_ticket(1), first, 0.0)
    del dispatcher.upstreams_by_name[first]
    dispatcher.update_rankings()
    retry = build_ticket(1).excluding(frozenset({first}))
    ((second),) = assigned(dispatcher.handle(d.RequestArrived(retry), 0.1))
    assert second.startswith("v1")


def test_completed_roll_out_uses_the_target_only() -> None:
    dispatcher = build_versioned_dispatcher(v1=4, v2=4)
    dispatcher.set_version_split(build_split(target_share=1.0))
    run(dispatcher, 50, keys=10)
    dispatcher.set_version_split(build_split(is_complete=True))
    assert set(by_version(run(dispatcher, 50, keys=10))) == {"v2"}
    dispatcher.set_version_split(build_split(baseline="v2", target=None, order=0))
    assert set(by_version(run(dispatcher, 50, keys=10))) == {"v2"}
    assert dispatcher.capacity(9.0) == room(dispatcher, "v2")


def test_service_with_unnamed_versions_only_is_served() -> None:
    dispatcher = build_versioned_dispatcher(v1=1, v3=2)
    dispatcher.set_version_split(build_split())
    assert assigned(arrive(dispatcher, 1)) == ["v1-0"]
    dispatcher.upstreams_by_name["v1-0"].leaving = True
    (assign,) = arrive(dispatcher, 2, affinity="k")
    assert isinstance(assign, d.Assign)
    assert assign.step is not None
    assert assign.step.software_version == "v3"
    assert assign.step.software_version_reason == "fallback"
    assert dispatcher.capacity(99.0) == room(dispatcher, "v3")


def test_upstream_of_another_version_under_the_same_name_changes_its_pool() -> None:
    dispatcher = build_versioned_dispatcher(v1=1, v2=1)
    dispatcher.set_version_split(build_split())
    dispatcher.upstreams_by_name["v2-0"].upstream = build_upstream(
        slots=100, software_version="v1"
    )
    dispatcher.update_rankings()
    assert set(run(dispatcher, 40)) == {"v1-0", "v2-0"}


def test_divided_slots_respect_the_versions() -> None:
    dispatcher = build_dispatcher(slots_by_upstream={"old": 20, "new": 20})
    for name, software_version in (("old", "v1"), ("new", "v2")):
        dispatcher.upstreams_by_name[name].upstream = build_upstream(
            slots=20, software_version=software_version
        )
    dispatcher.set_version_split(build_split())
    assert set(run(dispatcher, 20)) == {"old"}
    dispatcher.set_version_split(build_split(is_complete=True))
    assert set(run(dispatcher, 20)) == {"new"}


def test_assignment_that_the_gate_does_not_allow_breaks_an_invariant(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    dispatcher = build_versioned_dispatcher(v1=1, v2=1)
    dispatcher.set_version_split(build_split())
    pools = dispatcher.versions.pools.pools_by_set
    monkeypatch.setitem(pools, UpstreamSet.BASELINE, pools[UpstreamSet.TARGET])
    with pytest.raises(InvariantError, match="software-version-allowed"):
        arrive(dispatcher, 1)


def test_changes_of_the_list_keep_the_rankings_of_the_versions() -> None:
    dispatcher = build_versioned_dispatcher(v1=20, v2=20)
    dispatcher.set_version_split(build_split())
    pools = dispatcher.versions.pools
    placement = pools.pools_by_set[UpstreamSet.BASELINE].placement
    assert placement is not None
    ranking = placement.rankings.get("k")
    first = ranking.local[0]
    del dispatcher.upstreams_by_name[first]
    dispatcher.update_rankings()
    assert placement is pools.pools_by_set[UpstreamSet.BASELINE].placement
    assert placement.rankings.get("k") is ranking
    assert first not in ranking.local


def test_without_a_split_software_versions_decide_nothing() -> None:
    named = build_versioned_dispatcher(slots=4, v1=3, v2=3)
    unnamed = build_versioned_dispatcher(slots=4, v1=3, v2=3)
    for upstream in unnamed.upstreams_by_name.values():
        upstream.upstream = build_upstream(slots=4)
    once_split = build_versioned_dispatcher(slots=4, v1=3, v2=3)
    once_split.set_version_split(build_split())
    once_split.set_version_split(None)
    effects = [play(each) for each in (named, unnamed, once_split)]
    assert effects[0] == effects[1] == effects[2]
    assert named.random.random() == unnamed.random.random()


def play(dispatcher: Dispatcher) -> list[d.DispatchEffect]:
    """Send a fixed mix of requests, with and without keys, and complete some."""
    random = Random(3)
    effects: list[d.DispatchEffect] = []
    for number in range(300):
        now = 0.01 * number
        key = f"k{random.randrange(12)}" if random.random() < 0.7 else None
        effects += arrive(dispatcher, number, now, affinity=key)
        running = [each for each in effects if isinstance(each, d.Assign)]
        if running and random.random() < 0.8:
            done = random.choice(running)
            effects.remove(done)
            effects += finish(
                dispatcher,
                done.ticket.id,
                done.upstream,
                now,
                affinity=done.ticket.affinity,
            )
    return effects


STAGES = [
    None,
    build_split(),
    build_split(target=None),
    build_canary_split(),
    build_canary_split(target_share=1.0, max_exposure_share=0.1),
    build_split(target_share=0.4),
    build_split(target_share=1.0, baseline_ends_at=5.0),
    build_split(is_complete=True),
    build_canary_split(order=2),
]


@pytest.mark.parametrize("seed", range(12))
def test_any_order_of_stages_keeps_to_the_allowed_versions(seed: int) -> None:
    random = Random(seed)
    dispatcher = build_versioned_dispatcher(slots=2, v1=5, v2=5, v3=2)
    running: list[d.Assign] = []
    since: Counter[str] = Counter()
    split = None
    for number in range(600):
        now = 0.02 * number
        if random.random() < 0.02:
            before, split = split, random.choice(STAGES)
            dispatcher.set_version_split(split)
            if None in (before, split) or before.order != split.order:
                since.clear()
        key = random.choice([None, f"k{random.randrange(20)}"])
        effects = arrive(dispatcher, number, now, affinity=key)
        while running and random.random() < 0.6:
            done = running.pop(random.randrange(len(running)))
            effects += finish(dispatcher, done.ticket.id, done.upstream, now)
        for each in effects:
            if not isinstance(each, d.Assign):
                continue
            running.append(each)
            software_version = each.upstream.partition("-")[0]
            if split is not None:
                assert software_version in allowed(split, now)
                limit = split.max_exposure_share
                if software_version == "v2" and limit is not None:
                    assert since["v2"] < limit * since.total() + 1
            since[software_version] += 1
    assert dispatcher.in_flight() == len(running)


def allowed(split: VersionSplit, now: float) -> set[str]:
    """Return the versions that requests may use, all of whose upstreams stay."""
    if split.is_complete:
        return {"v2"}
    if split.max_exposure_share is None and now >= split.baseline_ends_at:
        return {"v2"}
    if split.target is None or split.target_share == 0:
        return {"v1"}
    return {"v1", "v2"}
