"""Upstreams that say that they leave, or ask for rest, in their answers.

Seen: a request reached an upstream 3 s after an answer had told the entry VM that sent
it that the upstream leaves; upstreams that had asked an entry VM for 3 s of rest got 26
and 12 requests from it in that time.
"""

from __future__ import annotations

import pytest

from plankspindle_testkit.lab.lab_run import LabRun
from plankspindle_testkit.lab.outcomes import Outcome
from plankspindle_testkit.lab.pattern import PATTERNS_FOLDER
from plankspindle_testkit.lab.pattern import Pattern
from plankspindle_testkit.lab.pattern import read_pattern

DRAIN_S = 2.0
MOST_IN_REST = 2


def pattern(name: str) -> Pattern:
    return read_pattern(PATTERNS_FOLDER / f"{name}.yaml").unwrap()


@pytest.mark.parametrize("seed", [1, 2])
def test_an_upstream_that_says_it_leaves_gets_nothing_new(seed: int) -> None:
    run = LabRun(pattern=pattern("upstreams-that-say-they-leave"), seed=seed)
    run.run()
    assert run.statements.sent_to_leaving(drain_s=DRAIN_S) == 0


@pytest.mark.parametrize("seed", [1, 2])
def test_an_upstream_that_asks_for_rest_gets_it(seed: int) -> None:
    run = LabRun(pattern=pattern("upstreams-that-ask-for-rest"), seed=seed)
    outcomes = run.run()
    assert run.statements.backoff_count > 0
    assert run.statements.max_requests_in_backoff() <= MOST_IN_REST
    assert outcomes.by_outcome[Outcome.FAILED] == 0
