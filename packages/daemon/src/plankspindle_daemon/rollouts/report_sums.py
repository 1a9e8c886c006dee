"""Sums of the counts in reports on a roll-out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve

from plankspindle_daemon.dispatch.version_counts import MAX_BAD_UPSTREAMS
from plankspindle_daemon.peer_messages.rollout_messages import RolloutReport
from plankspindle_daemon.peer_messages.rollout_messages import UpstreamOutcomes
from plankspindle_daemon.peer_messages.rollout_messages import VersionOutcomes
from plankspindle_daemon.rollouts.rollout_participant import later_stage
from plankspindle_daemon.rollouts.rollout_participant import parse_stage
from plankspindle_daemon.rollouts.stage import Stage

if TYPE_CHECKING:
    from collections.abc import Iterable


def sum_outcomes(reports: Iterable[RolloutReport]) -> tuple[VersionOutcomes, ...]:
    """Return the sums of the judged answers by operation and failure domain."""
    sums: dict[tuple[str, str], VersionOutcomes] = {}
    for report in reports:
        for each in report.outcomes:
            key = (each.operation, each.failure_domain)
            before = sums.get(key)
            sums[key] = (
                each
                if before is None
                else VersionOutcomes(
                    operation=each.operation,
                    failure_domain=each.failure_domain,
                    baseline_answers=before.baseline_answers + each.baseline_answers,
                    baseline_bad=before.baseline_bad + each.baseline_bad,
                    target_answers=before.target_answers + each.target_answers,
                    target_bad=before.target_bad + each.target_bad,
                )
            )
    return tuple(sums[key] for key in sorted(sums))


def sum_bad_upstreams(
    reports: Iterable[RolloutReport],
) -> tuple[UpstreamOutcomes, ...]:
    """Return the sums by operation and upstream, of those with the most bad ones."""
    sums: dict[tuple[str, str], UpstreamOutcomes] = {}
    for report in reports:
        for each in report.bad_upstreams:
            key = (each.operation, each.upstream)
            before = sums.get(key)
            sums[key] = (
                each
                if before is None
                else evolve(
                    before,
                    answers=before.answers + each.answers,
                    bad=before.bad + each.bad,
                )
            )
    worst = sorted(sums, key=lambda key: (-sums[key].bad, key))
    return tuple(sums[key] for key in worst[:MAX_BAD_UPSTREAMS])


def latest_stage(reports: Iterable[RolloutReport]) -> Stage:
    """Return the latest stage that the senders know."""
    latest = Stage.PREPARING
    for report in reports:
        latest = later_stage(latest, parse_stage(report.stage) or latest)
    return latest


def without_decreases(before: RolloutReport, report: RolloutReport) -> RolloutReport:
    """Return a report whose counts are nowhere below those of an earlier one.

    A new collector knows nothing of processes that have ended, and at first not of all
    that run. Answers that were judged once would count again when its sums grow.
    """
    outcomes = {(each.operation, each.failure_domain): each for each in before.outcomes}
    for each in report.outcomes:
        key = (each.operation, each.failure_domain)
        old = outcomes.get(key, each)
        outcomes[key] = VersionOutcomes(
            operation=each.operation,
            failure_domain=each.failure_domain,
            baseline_answers=max(old.baseline_answers, each.baseline_answers),
            baseline_bad=max(old.baseline_bad, each.baseline_bad),
            target_answers=max(old.target_answers, each.target_answers),
            target_bad=max(old.target_bad, each.target_bad),
        )
    upstreams = {(each.operation, each.upstream): each for each in before.bad_upstreams}
    for upstream in report.bad_upstreams:
        name = (upstream.operation, upstream.upstream)
        known = upstreams.get(name, upstream)
        upstreams[name] = evolve(
            upstream,
            answers=max(known.answers, upstream.answers),
            bad=max(known.bad, upstream.bad),
        )
    return evolve(
        report,
        requests=max(before.requests, report.requests),
        exposed=max(before.exposed, report.exposed),
        outcomes=tuple(outcomes[key] for key in sorted(outcomes)),
        bad_upstreams=tuple(upstreams[name] for name in sorted(upstreams)),
    )
