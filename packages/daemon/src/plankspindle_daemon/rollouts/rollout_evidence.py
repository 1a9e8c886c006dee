"""What the entry VMs have reported of a roll-out, and what it says of the target."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.peer_messages.rollout_messages import RolloutReport
from plankspindle_daemon.rollouts import report_sums
from plankspindle_daemon.rollouts.judgement import Evidence
from plankspindle_daemon.rollouts.judgement import Judgement
from plankspindle_daemon.rollouts.judgement import Verdict
from plankspindle_daemon.rollouts.rollout_collector import MAX_SILENCE_S

if TYPE_CHECKING:
    from collections.abc import Mapping

    from plankspindle_daemon.peer_messages.rollout_messages import VersionOutcomes
    from plankspindle_daemon.rollouts.canary_share import CanaryBudget
    from plankspindle_daemon.rollouts.stage import Stage

MIN_REQUESTS = 100
"""Requests during the canary below which no answers of the target are needed."""
MIN_DUE_SHARE = 0.5
"""Part of the answers due from the target that it must have given."""
ENOUGH_ANSWERS = 200
"""Answers of the target that are enough, whatever its share of the requests.

Its share of the keys may carry less than that share of the requests.
"""
MAX_DOMAIN_SILENCE_S = 6.0
"""Time without a report after which a failure domain does not delay the end, in s.

Its VMs choose another collector in less.
"""


@define(kw_only=True)
class RolloutEvidence:
    """Merges the reports of failure domains.

    Parameters
    ----------
    canary_share : float
        Share of the requests that the canary gets.
    started_at : float
        Monotonic seconds.

    Attributes
    ----------
    latest : Evidence
        What the answers so far say.
    heard_at : float
        When the last report came, in monotonic seconds.
    """

    canary_share: float
    started_at: float
    latest: Evidence = Factory(lambda: Evidence(verdict=Verdict.UNDECIDED))
    heard_at: float = -math.inf
    _judgement: Judgement = Factory(Judgement)
    _sums_by_domain: dict[str, RolloutReport] = Factory(dict)
    _newest_by_process: dict[tuple[str, int], RolloutReport] = Factory(dict)
    _heard_at_by_process: dict[tuple[str, int], float] = Factory(dict)
    _endpoint_by_process: dict[tuple[str, int], Endpoint] = Factory(dict)
    _requests_before_canary: int = 0
    _answers_before_canary: int = 0

    def take(self, report: RolloutReport, sender: Endpoint | None, now: float) -> None:
        """Record the report of a collector; the endpoint is None for this VM."""
        domain, process = report.failure_domain, (report.sender, report.incarnation)
        sums = self._sums_by_domain.get(domain)
        self._sums_by_domain[domain] = (
            report if sums is None else report_sums.without_decreases(sums, report)
        )
        before = self._newest_by_process.get(process)
        if before is None or report.requests >= before.requests:
            self._newest_by_process[process] = report
        self._heard_at_by_process[process] = self.heard_at = now
        if sender is not None:
            self._endpoint_by_process[process] = sender

    @property
    def requests(self) -> int:
        """Requests to the service since the order."""
        return sum(each.requests for each in self._sums_by_domain.values())

    @property
    def exposed(self) -> int:
        """Requests to the target since the order."""
        return sum(each.exposed for each in self._sums_by_domain.values())

    def outcomes(self) -> tuple[VersionOutcomes, ...]:
        """Return the judged answers by operation and failure domain."""
        return report_sums.sum_outcomes(self._sums_by_domain.values())

    def answers(self) -> int:
        """Return the number of judged answers of the target."""
        return sum(
            each.target_answers for each in self.outcomes() if not each.is_of_timing
        )

    def latest_stage(self) -> Stage:
        """Return the latest stage that any VM knows."""
        return report_sums.latest_stage(self._newest_by_process.values())

    def collectors(self, now: float) -> set[Endpoint]:
        """Return the addresses of the other VMs that report here."""
        return {
            endpoint
            for process, endpoint in self._endpoint_by_process.items()
            if now - self._heard_at_by_process[process] <= MAX_SILENCE_S
        }

    def begin_canary(self) -> None:
        """Count from now on what is due from the target."""
        self._requests_before_canary = self.requests
        self._answers_before_canary = self.answers()

    def check_budget(self, canary: CanaryBudget) -> None:
        """Raise or lower the share of the canary by what was reported."""
        canary.check(
            requests=self.requests,
            exposed=self.exposed,
            is_in_doubt=self.latest.is_doubtful,
        )

    def is_enough(self) -> bool:
        """Return whether the target has answered its part of the requests."""
        requests = self.requests - self._requests_before_canary
        if requests < MIN_REQUESTS:
            return True
        due = MIN_DUE_SHARE * self.canary_share * requests
        return self.answers() - self._answers_before_canary >= min(due, ENOUGH_ANSWERS)

    def judge(self, upstreams: int, now: float) -> Evidence:
        """Return what the answers so far say.

        Parameters
        ----------
        upstreams : int
            Upstreams of the target that should get requests by their number.
        now : float
            Monotonic seconds.
        """
        outcomes = self.outcomes()
        domains = {each.failure_domain for each in outcomes if each.target_answers}
        self.latest = self._judgement.update(
            outcomes,
            report_sums.sum_bad_upstreams(self._sums_by_domain.values()),
            target_upstreams=max(upstreams, len(domains)),
            now=now,
        )
        return self.latest

    def heard_vms(self, now: float, *, for_s: float) -> int:
        """Return the number of entry VMs whose reports came in a time, in seconds."""
        return sum(each.vms for each in self._recent(now, for_s))

    def _recent(self, now: float, for_s: float) -> list[RolloutReport]:
        return [
            self._newest_by_process[process]
            for process, at in self._heard_at_by_process.items()
            if now - at <= for_s
        ]

    def is_emptied(self, vms_by_domain: Mapping[str, int], now: float) -> bool:
        """Return whether no entry VM in touch uses the baseline any more.

        Parameters
        ----------
        vms_by_domain : mapping of str to int
            Entry VMs that are not known to have failed.
        now : float
            Monotonic seconds.

        Notes
        -----
        A failure domain that is not heard for ``MAX_DOMAIN_SILENCE_S`` does not count.
        """
        heard = self._recent(now, MAX_SILENCE_S)
        silent = vms_by_domain.keys() - {each.failure_domain for each in heard}
        if any(self._is_awaited(domain, now) for domain in silent):
            return False
        return bool(heard) and all(each.emptied_vms >= each.vms for each in heard)

    def _is_awaited(self, failure_domain: str, now: float) -> bool:
        """Return whether a silent failure domain may have another collector soon."""
        heard_at = [
            at
            for process, at in self._heard_at_by_process.items()
            if self._newest_by_process[process].failure_domain == failure_domain
        ]
        last_at = max([self.started_at, *heard_at])
        return now - last_at <= MAX_DOMAIN_SILENCE_S
