"""Sums the reports of the entry VMs of a failure domain."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.peer_messages.rollout_messages import RolloutReport
from plankspindle_daemon.rollouts import report_sums
from plankspindle_daemon.rollouts.rollout_order import RolloutOrder

if TYPE_CHECKING:
    from collections.abc import Iterable


MAX_SILENCE_S = 2.5
"""Time without a report after which a VM does not delay the end, in seconds.

It is longer than a lease: such a VM has no directives either.
"""


@define(kw_only=True)
class RolloutCollector:
    """Report the sums of the VMs of a failure domain for one order.

    Parameters
    ----------
    vm, failure_domain : str
        Name of this VM, and the failure domain that it is located in.
    incarnation : int
        Random number that identifies this process.
    service : str
        The service.
    order : RolloutOrder
        The order that is reported on.
    started_at : float
        Monotonic seconds.

    Attributes
    ----------
    heard_at : float
        When the last report of another VM came, in monotonic seconds.
    """

    vm: str
    failure_domain: str
    incarnation: int
    service: str
    order: RolloutOrder
    started_at: float
    heard_at: float = -float("inf")
    _reports_by_process: dict[tuple[str, int], RolloutReport] = Factory(dict)
    _incarnation_by_vm: dict[str, int] = Factory(dict)
    _heard_at_by_vm: dict[str, float] = Factory(dict)
    _endpoint_by_vm: dict[str, Endpoint] = Factory(dict)

    def hears_others(self, now: float) -> bool:
        """Return whether VMs report here; ``now`` in monotonic seconds."""
        return now - self.heard_at <= MAX_SILENCE_S

    def take(self, report: RolloutReport, sender: Endpoint | None, now: float) -> None:
        """Record a report of a VM, or a part; the endpoint is None for this VM."""
        process = (report.sender, report.incarnation)
        before = self._reports_by_process.get(process)
        if before is not None and report.requests < before.requests:
            return
        self._reports_by_process[process] = (
            report if before is None else report_sums.without_decreases(before, report)
        )
        self._incarnation_by_vm[report.sender] = report.incarnation
        self._heard_at_by_vm[report.sender] = now
        if sender is not None:
            self._endpoint_by_vm[report.sender] = sender
            self.heard_at = now

    def endpoints(self, now: float) -> set[Endpoint]:
        """Return the addresses of the other VMs that report here."""
        return {
            endpoint
            for vm, endpoint in self._endpoint_by_vm.items()
            if now - self._heard_at_by_vm[vm] <= MAX_SILENCE_S
        }

    def report(self, members: Iterable[str], now: float) -> RolloutReport:
        """Return the sums over all processes.

        Parameters
        ----------
        members : iterable of str
            VMs of the failure domain that are not known to have failed.
        now : float
            Monotonic seconds.
        """
        reports = self._reports_by_process.values()
        counted = [
            vm
            for vm in {*members, *self._heard_at_by_vm}
            if now - self._heard_at_by_vm.get(vm, self.started_at) <= MAX_SILENCE_S
        ]
        return RolloutReport(
            sender=self.vm,
            incarnation=self.incarnation,
            failure_domain=self.failure_domain,
            is_of_domain=True,
            service=self.service,
            order=self.order.number,
            stage=report_sums.latest_stage(reports).value,
            vms=len(counted),
            emptied_vms=sum(self._is_emptied(vm) for vm in counted),
            requests=sum(each.requests for each in reports),
            exposed=sum(each.exposed for each in reports),
            outcomes=report_sums.sum_outcomes(reports),
            bad_upstreams=report_sums.sum_bad_upstreams(reports),
        )

    def _is_emptied(self, vm: str) -> bool:
        incarnation = self._incarnation_by_vm.get(vm)
        if incarnation is None:
            return False
        return self._reports_by_process[vm, incarnation].emptied_vms > 0
