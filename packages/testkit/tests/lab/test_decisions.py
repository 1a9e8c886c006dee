"""What the decisions keep of the worth of modelled loads.

Each floor lies between what a run earned without the mechanism and with it, on the seed
that is named; the patterns name the moments that they answer and their grounds.
"""

from __future__ import annotations

import pytest

from plankspindle_testkit.lab.lab_run import LabRun
from plankspindle_testkit.lab.pattern import PATTERNS_FOLDER
from plankspindle_testkit.lab.pattern import read_pattern

SEED = 1


def worth_of(name: str) -> float:
    pattern = read_pattern(PATTERNS_FOLDER / f"{name}.yaml").unwrap()
    return LabRun(pattern=pattern, seed=SEED).run().worth


@pytest.mark.parametrize(
    ("name", "least"),
    [("overload-cold-domain", 0.88), ("steady-beyond-the-room", 0.78)],
)
def test_a_busy_upstream_that_knows_a_key_is_waited_for(
    name: str, least: float
) -> None:
    """0.848 and 0.761 where only a third of the slots may wait."""
    assert worth_of(name) > least


def test_keys_stay_with_the_next_upstreams_of_their_order() -> None:
    """0.698 where idle upstreams take any key while the others shed."""
    assert worth_of("all-upstreams-shed") > 0.74


def test_an_upstream_that_sheds_with_room_keeps_its_keys() -> None:
    """0.771 where it counts as full for 0.4 s after each request that it shed."""
    assert worth_of("all-upstreams-shed") > 0.82


@pytest.mark.parametrize(
    ("name", "least"),
    [("callers-fill-one-region", 0.90), ("callers-where-few-upstreams-are", 0.92)],
)
def test_callers_who_crowd_one_region_are_served(name: str, least: float) -> None:
    """Also by a plan that knows slots and entry VMs, not where the callers are."""
    assert worth_of(name) > least
