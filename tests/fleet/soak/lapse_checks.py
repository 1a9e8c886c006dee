"""Entries that lapsed in an outage of the store, and what must follow from it."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import define
from attrs import frozen

from soak.checks import Checks
from soak.history import RUN_ONCE_PREFIXES
from soak.layout import ZONES
from soak.upstreams import DOWN_S
from soak.upstreams import Upstream

if TYPE_CHECKING:
    from collections.abc import Iterator

    from soak.checks import ObservedRequest

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Answers that say that the request has not run and will not."""
WINDOW_S = 6.0
"""Time after an outage in which reads are judged for being served, in seconds."""
MIN_READS = 10
MIN_SERVED_SHARE = 0.9
MIN_EXPECTED_REQUESTS = 15.0
"""Requests that an upstream had to get for their lack to show that it was lost.

Keys spread requests evenly over the upstreams of a service in a region; by chance
alone one gets none of 15 expected in 3 of 10 million cases. Requests without a key
don't count: few upstreams get them while little runs.
"""
OK = 200
ALL_VMS = "all entry VMs"


@define(kw_only=True)
class Lapse:
    """Entries of living upstreams that went in an outage of the store.

    Parameters
    ----------
    ended_at : float
        When the store was back, monotonic seconds.
    relisted_at : list of tuple of Upstream and float
        Which entries came back when, monotonic seconds.
    """

    ended_at: float
    relisted_at: list[tuple[Upstream, float]] = Factory(list)

    @property
    def completed_at(self) -> float:
        """When the last entry was back, monotonic seconds."""
        return max((at for _, at in self.relisted_at), default=self.ended_at)


@frozen(kw_only=True)
class _ServedRequest:
    vm: str
    at: Upstream
    arrived_at: float


@define(kw_only=True)
class LapseChecks:
    """Checks of what follows from lapsed entries, made once all is over.

    Parameters
    ----------
    checks : Checks
        What is known, and what is told of findings.
    crashed : list of Upstream
        Upstreams that ended under requests. Their services may have none left for a
        while, where one crashes beside others that leave or are evacuated.
    restricted : list of Upstream
        Those that said something which keeps requests away.

    Attributes
    ----------
    uses : list of str
        What each upstream whose entry lapsed got afterwards, for tracing.
    """

    checks: Checks
    crashed: list[Upstream] = Factory(list)
    restricted: list[Upstream] = Factory(list)
    lapses: list[Lapse] = Factory(list)
    uses: list[str] = Factory(list)

    def check(self, upstreams: list[Upstream], end: float) -> None:
        """Check everything.

        Parameters
        ----------
        upstreams : list of Upstream
            Those that there are at the end.
        end : float
            When callers ended, monotonic seconds.
        """
        self._check_not_run()
        for lapse in self.lapses:
            self._check_served_again(lapse)
            for upstream, back_at in lapse.relisted_at:
                self._check_used_again(lapse, upstream, back_at, upstreams, end)

    def _check_not_run(self) -> None:
        for told, runs in self.checks.requests_with_runs:
            if told.status not in NOT_RUN_STATUSES:
                continue
            self.checks.counts["judged for not running"] += 1
            if runs:
                detail = f"{told} ran at {runs[0].at.name}, {runs[0].arrived_at:.3f}"
                self.checks.fail("not run", detail, told.ended_at)

    def _check_served_again(self, lapse: Lapse) -> None:
        """Check the share of reads served from the bound after the last entry on."""
        asked: Counter[str] = Counter()
        served: Counter[str] = Counter()
        for told, _ in self.checks.requests_with_runs:
            due = self.checks.disturbances.extended_deadline(
                lapse.ended_at, self.checks.bounds.contact, told.sent_at
            )
            if max(due, lapse.completed_at) < told.sent_at < due + WINDOW_S and (
                self._must_be_served(told)
            ):
                asked[told.vm] += 1
                served[told.vm] += told.status == OK
        for vm, number in asked.items():
            if number < MIN_READS:
                continue
            self.checks.counts["judged for being served after a lapse"] += number
            if served[vm] < MIN_SERVED_SHARE * number:
                detail = f"{vm} served {served[vm]} of {number} reads"
                self.checks.fail("served again", detail, lapse.completed_at)

    def _must_be_served(self, told: ObservedRequest) -> bool:
        if told.prefix in RUN_ONCE_PREFIXES:
            return False
        versions = self.checks.history.versions
        apply_s = self.checks.bounds.config_apply
        later = self.checks.disturbances.extended_deadline
        due = max(
            number
            for number, version in enumerate(versions)
            if not number
            or later(version.acked_at, apply_s, told.sent_at) < told.sent_at
        )
        possible = [each for each in versions[due:] if each.sent_at <= told.ended_at]
        services = {each.service_by_prefix.get(told.prefix) for each in possible}
        if None in services or self._has_crashed(services, told.sent_at):
            return False
        if self._is_withheld(services, told.sent_at, told.ended_at):
            return False
        return self.checks.disturbances.is_undisturbed(
            told.vm, told.sent_at, told.ended_at
        )

    def _has_crashed(self, services: set[str | None], now: float) -> bool:
        """Tell whether upstreams of services may still be missing after a crash."""
        missing_s = DOWN_S[1] + self.checks.bounds.contact
        return any(
            each.service in services
            and each.crashed_at < now < each.crashed_at + missing_s
            for each in self.crashed
        )

    def _is_withheld(self, services: set[str | None], begin: float, end: float) -> bool:
        """Tell whether upstreams of services keep requests away, or did just before."""
        contact_s = self.checks.bounds.contact
        return any(
            each.service in services and each.is_withheld(begin - contact_s, end)
            for each in self.restricted
        )

    def _check_used_again(
        self,
        lapse: Lapse,
        upstream: Upstream,
        back_at: float,
        upstreams: list[Upstream],
        end: float,
    ) -> None:
        """Check that an upstream gets its part of what its service and region get."""
        begin = back_at + self.checks.bounds.contact
        spoke_at = (each.begin for each in upstream.withheld_spans if each.end > begin)
        ends = (upstream.left_at, upstream.crashed_at, *spoke_at, end)
        until = min([*ends, *self._later_lapses(lapse, upstream)])
        rivals = sum(_is_equivalent(each, upstream) for each in upstreams)
        expected: Counter[str] = Counter()
        used: Counter[str] = Counter()
        for use in self._uses(upstream, begin, until):
            for who in (use.vm, ALL_VMS):
                expected[who] += 1
                used[who] += use.at is upstream
        for who, number in expected.items():
            self.uses.append(
                f"{upstream.name} got {used[who]} of {number} of {who} among {rivals}"
            )
            if number < MIN_EXPECTED_REQUESTS * rivals:
                continue
            self.checks.counts["judged for being used after a lapse"] += 1
            if not used[who]:
                detail = (
                    f"{upstream.name}, listed again at {back_at:.3f}, got none of "
                    f"{number} requests of {who} among {rivals}"
                )
                self.checks.fail("used again", detail, begin)

    def _uses(
        self, upstream: Upstream, begin: float, until: float
    ) -> Iterator[_ServedRequest]:
        """Give what the service got in the region while it could be used."""
        for told, runs in self.checks.requests_with_runs:
            for run in runs:
                if (
                    told.has_key
                    and begin < run.arrived_at < until
                    and _is_equivalent(run.at, upstream)
                    and not self._is_evacuated(upstream.zone, run.arrived_at)
                    and self.checks.disturbances.is_undisturbed(
                        told.vm, run.arrived_at, run.arrived_at
                    )
                ):
                    yield _ServedRequest(
                        vm=told.vm, at=run.at, arrived_at=run.arrived_at
                    )

    def _later_lapses(self, lapse: Lapse, upstream: Upstream) -> list[float]:
        return [
            each.ended_at
            for each in self.lapses
            if each.ended_at > lapse.ended_at
            and any(other is upstream for other, _ in each.relisted_at)
        ]

    def _is_evacuated(self, zone: str, at: float) -> bool:
        contact_s = self.checks.bounds.contact
        return any(
            each.zone == zone and each.acked_at <= at <= each.undone_at + contact_s
            for each in self.checks.history.evacuations
        )


def _is_equivalent(each: Upstream, of: Upstream) -> bool:
    return each.service == of.service and ZONES[each.zone] == ZONES[of.zone]
