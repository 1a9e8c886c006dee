"""Detects changes of the share of a service's affinity keys that leave the region."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import field

from plankspindle_core.classes import define
from plankspindle_daemon.status_changes.status_change import StatusChange

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

    from plankspindle_daemon.dispatch.dispatcher import Dispatcher

MIN_SHARE_CHANGE = 0.1
"""Smallest change of the share of keys leaving the region that is logged."""


@define(kw_only=True)
class PlanMonitor:
    """Compare the placement plan of each service with the one last logged."""

    _remote_share_by_service: dict[str, float] = field(factory=dict)

    def observe(
        self, dispatchers_by_service: Mapping[str, Dispatcher]
    ) -> Iterator[StatusChange]:
        """Yield the changes since the previous call.

        Parameters
        ----------
        dispatchers_by_service : mapping of str to Dispatcher
            Dispatchers, which have the plans.
        """
        for service, dispatcher in dispatchers_by_service.items():
            plan = dispatcher.region_plan()
            if plan is None:
                continue
            previous = self._remote_share_by_service.get(service, 0.0)
            if abs(plan.remote_share - previous) < MIN_SHARE_CHANGE:
                continue
            self._remote_share_by_service[service] = plan.remote_share
            yield StatusChange(
                event="keys_leaving_region",
                fields={
                    "service": service,
                    "was": round(previous, 3),
                    "now": round(plan.remote_share, 3),
                },
            )
