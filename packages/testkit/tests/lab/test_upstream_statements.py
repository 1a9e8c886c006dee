"""Upstreams whose answers state that they are leaving, or a Retry-After delay.

Failures: a request reached an upstream 3 s after its entry VM had received the
statement that the upstream is leaving; upstreams that had sent an entry VM a
Retry-After of 3 s got 26 and 12 requests from it within that time.
"""

from __future__ import annotations

import pytest

from plankspindle_testkit.lab.lab_run import LabRun
from plankspindle_testkit.lab.outcomes import Outcome
from plankspindle_testkit.lab.pattern import PATTERNS_FOLDER
from plankspindle_testkit.lab.pattern import Pattern
from plankspindle_testkit.lab.pattern import read_pattern

DRAIN_S = 2.0
MAX_IN_BACKOFF = 2


def build_pattern(name: str) -> Pattern:
    return read_pattern(PATTERNS_FOLDER / f"{name}.yaml").unwrap()


@pytest.mark.parametrize("seed", [1, 2])
def test_leaving_upstream_gets_no_new_requests(seed: int) -> None:
    run = LabRun(pattern=build_pattern("upstreams-that-say-they-leave"), seed=seed)
    run.run()
    assert run.statements.sent_to_leaving(drain_s=DRAIN_S) == 0


@pytest.mark.parametrize("seed", [1, 2])
def test_upstream_gets_no_requests_within_retry_after(seed: int) -> None:
    run = LabRun(pattern=build_pattern("upstreams-that-ask-for-rest"), seed=seed)
    outcomes = run.run()
    assert run.statements.backoff_count > 0
    assert run.statements.max_requests_in_backoff() <= MAX_IN_BACKOFF
    assert outcomes.by_outcome[Outcome.FAILED] == 0
