"""Operators of a soak keep to one drain of an upstream at a time."""

from __future__ import annotations

from collections import Counter
from typing import Any

import curio
import pytest
from attrs import define
from attrs import field
from curio import sleep
from curio import spawn

from plankspindle_testkit.soak import operators
from plankspindle_testkit.soak.guarantees import Observations
from plankspindle_testkit.soak.layout import Layout
from plankspindle_testkit.soak.operators import Operators

UPSTREAM = "u0-ba-1"
CHANGE_S = 0.01


@define(kw_only=True)
class RecordingOperators(Operators):
    """Operators whose changes take a moment and are noted."""

    kinds: list[str] = field(factory=list)

    async def put_in_force(self, intent: dict[str, Any]) -> bool:
        self.kinds.append(intent["kind"])
        await sleep(CHANGE_S)
        return True

    async def runs_of(self, upstream: str) -> Counter[str]:
        """Tell of runs once the drain of the upstream is undone."""
        return Counter(["run"] if "undo-drain" in self.kinds else [])


def build_operators() -> RecordingOperators:
    return RecordingOperators(
        layout=Layout(vms=2), observations=Observations(), began_at=0.0
    )


async def drain_at_once(made: RecordingOperators, *watched_s: float) -> None:
    """Begin drains of one upstream while another change is being made."""
    storm = await spawn(made.apply_several)
    drains = [await spawn(made.drain, UPSTREAM, for_s) for for_s in watched_s]
    for task in (storm, *drains):
        await task.join()


@pytest.fixture(autouse=True)
def short_times(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(operators, "DRAIN_EFFECT_S", 0.05)
    monkeypatch.setattr(operators, "POLL_PERIOD_S", 0.05)


def test_drains_that_wait_for_the_same_change_are_one() -> None:
    made = build_operators()
    curio.run(drain_at_once, made, 0.4, 0.05)
    changes = [each for each in made.kinds if each != "apply"]
    assert changes == ["drain", "undo-drain"]
    assert not any(each.marks for each in made.observations.drained_runs)
    assert made.observations.drained_runs


def test_an_upstream_is_drained_again_once_it_was_taken_back() -> None:
    made = build_operators()
    curio.run(drain_at_once, made, 0.05)
    curio.run(drain_at_once, made, 0.05)
    changes = [each for each in made.kinds if each != "apply"]
    assert changes == 2 * ["drain", "undo-drain"]
    assert not made.drained
