"""Tests of drawing, reading and writing faults of a soak."""

from __future__ import annotations

import pytest

from plankspindle_testkit.soak import soak_fault as f
from plankspindle_testkit.soak.__main__ import load_regressions
from plankspindle_testkit.soak.link_proxy import LinkState

VMS = ["a", "b"]
UPSTREAMS = ["u", "v"]


def draw(seed: int, seconds: float = 60.0) -> list[f.SoakFault]:
    return f.draw_faults(seed, seconds=seconds, vms=VMS, upstreams=UPSTREAMS)


def test_draws_are_reproducible_from_the_seed() -> None:
    assert draw(5) == draw(5)
    assert draw(5) != draw(6)


def test_draws_cover_all_kinds_and_targets_in_order_of_time() -> None:
    faults = [each for seed in range(60) for each in draw(seed)]
    kinds = {each.kind for each in faults}
    assert kinds == {
        *f.VM_KINDS,
        *f.PLATFORM_KINDS,
        *f.UPSTREAM_KINDS,
        *f.LINK_KINDS,
        *f.OPERATOR_KINDS,
    }
    links = {each.target for each in faults if ":" in each.target}
    assert links == {
        "caller:a",
        "caller:b",
        "store:a",
        "store:b",
        "upstream:u",
        "upstream:v",
    }
    for seed in range(5):
        times = [each.at for each in draw(seed)]
        assert times == sorted(times)


def disturbed(kind: str, target: str = "") -> list[str]:
    return f.SoakFault(at=0.0, for_s=1.0, kind=kind, target=target).disturbed_targets()


def test_fault_disturbs_its_target() -> None:
    assert disturbed("delays", "store:b") == ["b"]
    assert disturbed("delays", "upstream:u") == ["u"]
    assert {name for kind in f.PLATFORM_KINDS for name in disturbed(kind)} == {
        f.PLATFORM
    }


@pytest.mark.parametrize("kind", [*f.OPERATOR_KINDS, *f.UPSTREAM_KINDS, *f.VM_KINDS])
def test_faults_that_must_not_delay_answers_disturb_nothing(kind: str) -> None:
    assert disturbed(kind, "u") == []


def test_draws_include_series_at_one_and_at_several_targets() -> None:
    of_one = of_several = 0
    for seed in range(60):
        faults = draw(seed)
        for three in zip(faults, faults[1:], faults[2:], strict=False):
            if len({each.kind for each in three}) == 1:
                targets = len({each.target for each in three})
                of_one += targets == 1
                of_several += targets > 1
    assert of_one > 20
    assert of_several > 20


def test_draws_include_every_combination() -> None:
    expected = {tuple(kind for _, kind in each) for each in f.COMBINATIONS}
    drawn = set()
    for seed in range(60):
        starts = [(each.at, each.kind) for each in draw(seed)]
        for at, kind in starts:
            for each in f.COMBINATIONS:
                times = [(round(at + after, 3), name) for after, name in each]
                if kind == each[0][1] and set(times) <= set(starts):
                    drawn.add(tuple(name for _, name in each))
    assert drawn == expected


def test_each_link_state_has_a_kind_of_fault() -> None:
    states = {each.value for each in LinkState} - {"passes"}
    assert states == set(f.LINK_KINDS) - {"silence"}


def test_written_schedule_is_read_back() -> None:
    faults = draw(3)
    assert f.read_schedule(f.write_schedule(faults)) == faults


@pytest.mark.parametrize("line", ["{", "[]", '{"kind": "kill"}', '{"other": 1}'])
def test_invalid_line_is_reported_by_number(line: str) -> None:
    good = f.write_schedule(draw(1)[:1])
    with pytest.raises(ValueError, match="line 2 is no fault"):
        f.read_schedule(good + line + "\n")


def test_regressions_can_be_read() -> None:
    assert all(isinstance(seed, int) for seed, _ in load_regressions())
