"""Share of the worth of requests that placement decisions earn under load patterns.

Each lower bound lies between the result without the mechanism and the one with it, on
the given seed. The pattern files state the situation that they model and the source of
their figures.
"""

from __future__ import annotations

import pytest
from attrs import evolve

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
def test_request_queues_for_a_busy_upstream_with_cached_key(
    name: str, least: float
) -> None:
    """0.848 and 0.761 if at most a third of the slots may be queued for."""
    assert worth_of(name) > least


def test_keys_stay_in_affinity_order_while_upstreams_shed() -> None:
    """0.698 if idle upstreams get any key while the others shed."""
    assert worth_of("all-upstreams-shed") > 0.74


def test_upstream_that_sheds_with_free_slots_keeps_its_keys() -> None:
    """0.771 if it counts as full for 0.4 s after each request that it sheds."""
    assert worth_of("all-upstreams-shed") > 0.82


@pytest.mark.parametrize(
    ("name", "least"),
    [("callers-fill-one-region", 0.90), ("callers-where-few-upstreams-are", 0.92)],
)
def test_callers_concentrated_in_one_region_are_served(name: str, least: float) -> None:
    """This also holds for a plan of slots and entry VMs without caller locations."""
    assert worth_of(name) > least


# Requests were refused or left their upstreams while the store lacked their entries.
def test_upstreams_that_a_returned_store_lacks_are_used() -> None:
    pattern = read_pattern(PATTERNS_FOLDER / "store-returns-from-copy.yaml").unwrap()
    without = LabRun(pattern=evolve(pattern, events=()), seed=SEED).run().worth
    assert worth_of("store-returns-from-copy") == without
