"""Tests of the faults of a soak."""

from __future__ import annotations

import pytest

from plankspindle_testkit.soak import soak_fault as f
from plankspindle_testkit.soak.__main__ import load_regressions
from plankspindle_testkit.soak.link_proxy import LinkState

VMS = ["a", "b"]
UPSTREAMS = ["u", "v"]


def draw(seed: int, seconds: float = 60.0) -> list[f.SoakFault]:
    return f.draw_faults(seed, seconds=seconds, vms=VMS, upstreams=UPSTREAMS)


def test_a_seed_draws_the_same_faults_each_time() -> None:
    assert draw(5) == draw(5)
    assert draw(5) != draw(6)


def test_seeds_draw_every_kind_on_every_target_in_the_order_of_time() -> None:
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


def test_a_fault_disturbs_what_it_strikes() -> None:
    assert disturbed("delays", "store:b") == ["b"]
    assert disturbed("delays", "upstream:u") == ["u"]
    assert {name for kind in f.PLATFORM_KINDS for name in disturbed(kind)} == {
        f.PLATFORM
    }


@pytest.mark.parametrize("kind", [*f.OPERATOR_KINDS, *f.UPSTREAM_KINDS, *f.VM_KINDS])
def test_what_may_not_delay_answers_disturbs_no_vm(kind: str) -> None:
    assert disturbed(kind, "u") == []


def test_seeds_draw_series_of_one_kind_at_one_target_and_at_several() -> None:
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


def test_seeds_draw_every_set_of_faults_that_meet() -> None:
    wanted = {tuple(kind for _, kind in each) for each in f.COMBINATIONS}
    drawn = set()
    for seed in range(60):
        starts = [(each.at, each.kind) for each in draw(seed)]
        for at, kind in starts:
            for each in f.COMBINATIONS:
                times = [(round(at + after, 3), name) for after, name in each]
                if kind == each[0][1] and set(times) <= set(starts):
                    drawn.add(tuple(name for _, name in each))
    assert drawn == wanted


def test_states_of_links_have_a_kind_of_fault() -> None:
    states = {each.value for each in LinkState} - {"passes"}
    assert states == set(f.LINK_KINDS) - {"silence"}


def test_a_schedule_is_read_as_it_was_written() -> None:
    faults = draw(3)
    assert f.read_schedule(f.write_schedule(faults)) == faults


@pytest.mark.parametrize("line", ["{", "[]", '{"kind": "kill"}', '{"other": 1}'])
def test_a_line_that_is_no_fault_is_named(line: str) -> None:
    good = f.write_schedule(draw(1)[:1])
    with pytest.raises(ValueError, match="line 2 is no fault"):
        f.read_schedule(good + line + "\n")


def test_regressions_can_be_read() -> None:
    assert all(isinstance(seed, int) for seed, _ in load_regressions())
