"""Selection of requests by shifts, and their caps."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from plankspindle_core.configuration.shift import Shift
from plankspindle_daemon.shifts.shift_meter import Move
from plankspindle_daemon.shifts.shift_meter import ShiftMeter


def build_shift(cap_percent: float, ramp_s: float = 0.0) -> Shift:
    return Shift(
        service="registry",
        from_region="bratislava",
        to_region="kosice",
        cap_percent=cap_percent,
        ramp_s=ramp_s,
    )


def build_meter(**caps: float) -> ShiftMeter:
    meter = ShiftMeter.create(region="bratislava")
    meter.apply_shifts({name: build_shift(cap) for name, cap in caps.items()}, 0.0)
    return meter


def moved(meter: ShiftMeter, callers: list[str]) -> list[str]:
    return [caller for caller in callers if move(meter, caller)]


def move(meter: ShiftMeter, caller: str, now: float = 0.0) -> Move | None:
    chosen = meter.choose(service="registry", caller_key=caller, now=now)
    if not isinstance(chosen, Move):
        return None
    meter.record_move(service="registry", move=chosen)
    return chosen


@given(
    callers=st.lists(st.sampled_from([f"dealer-{n}" for n in range(9)]), max_size=300),
    caps=st.lists(st.floats(0, 50), min_size=1, max_size=2),
)
def test_moved_requests_never_exceed_the_cap_of_a_shift(
    callers: list[str], caps: list[float]
) -> None:
    meter = build_meter(**{f"s{index}": cap for index, cap in enumerate(caps)})
    counts = [0] * len(caps)
    for total, caller in enumerate(callers, start=1):
        chosen = move(meter, caller)
        if chosen is not None:
            counts[int(chosen.shift_id[1:])] += 1
        for count, cap in zip(counts, caps, strict=True):
            assert count * 100 <= cap * total


def test_single_caller_cannot_exceed_the_cap() -> None:
    dealer = next(
        name
        for name in (f"dealer-{number}" for number in range(100))
        if moved(build_meter(s=20.0), [name] * 5)
    )
    assert len(moved(build_meter(s=20.0), [dealer] * 1000)) == 200


def test_callers_of_smaller_shift_are_subset_of_larger_shift() -> None:
    callers = [f"dealer-{number}" for number in range(400)] * 5
    small = set(moved(build_meter(s=20.0), callers))
    large = set(moved(build_meter(s=30.0), callers))
    assert small
    assert small < large


def test_shift_from_other_region_moves_no_requests() -> None:
    meter = ShiftMeter.create(region="kosice")
    meter.apply_shifts({"s": build_shift(100.0)}, 0.0)
    assert moved(meter, ["dealer"] * 10) == []


def test_counts_of_unchanged_shift_survive_configuration_change() -> None:
    meter = build_meter(s=20.0)
    moved(meter, ["dealer"] * 10)
    meter.apply_shifts({"s": build_shift(20.0), "t": build_shift(10.0)}, 1.0)
    assert meter.counts_by_id()["s"].request_count == 10
    assert meter.counts_by_id()["t"].request_count == 0


def test_moved_callers_increase_over_the_ramp() -> None:
    callers = [f"dealer-{number}" for number in range(400)] * 5
    reached = []
    for now in (0.0, 15.0, 30.0, 60.0):
        meter = ShiftMeter.create(region="bratislava")
        meter.apply_shifts({"s": build_shift(40.0, ramp_s=30.0)}, 0.0)
        reached.append({caller for caller in callers if move(meter, caller, now)})
    assert reached[0] == set()
    assert reached[0] < reached[1] < reached[2]
    assert reached[2] == reached[3]
