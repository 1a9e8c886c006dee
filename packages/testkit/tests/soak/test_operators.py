"""Tests that operators of a soak make one drain of an upstream at a time."""

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
    """Operators whose changes take ``CHANGE_S`` and are recorded by kind."""

    kinds: list[str] = field(factory=list)

    async def apply_intent(self, intent: dict[str, Any]) -> bool:
        self.kinds.append(intent["kind"])
        await sleep(CHANGE_S)
        return True

    async def runs_of(self, upstream: str) -> Counter[str]:
        """Return runs only once the drain of the upstream is undone."""
        return Counter(["run"] if "undo-drain" in self.kinds else [])


def build_operators() -> RecordingOperators:
    return RecordingOperators(
        layout=Layout(vms=2), observations=Observations(), began_at=0.0
    )


async def drain_at_once(recording: RecordingOperators, *watch_s: float) -> None:
    """Start drains of one upstream while another change is in progress."""
    changes = await spawn(recording.apply_several)
    drains = [await spawn(recording.drain, UPSTREAM, for_s) for for_s in watch_s]
    for task in (changes, *drains):
        await task.join()


@pytest.fixture(autouse=True)
def short_periods(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(operators, "DRAIN_EFFECT_S", 0.05)
    monkeypatch.setattr(operators, "POLL_PERIOD_S", 0.05)


def test_simultaneous_drains_of_one_upstream_are_made_once() -> None:
    recording = build_operators()
    curio.run(drain_at_once, recording, 0.4, 0.05)
    changes = [each for each in recording.kinds if each != "apply"]
    assert changes == ["drain", "undo-drain"]
    assert not any(each.marks for each in recording.observations.drained_runs)
    assert recording.observations.drained_runs


def test_upstream_can_be_drained_again_after_undo() -> None:
    recording = build_operators()
    curio.run(drain_at_once, recording, 0.05)
    curio.run(drain_at_once, recording, 0.05)
    changes = [each for each in recording.kinds if each != "apply"]
    assert changes == 2 * ["drain", "undo-drain"]
    assert not recording.drained
