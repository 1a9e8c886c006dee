"""Detects every change of the status observed by this VM, for the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import field

from plankspindle_core.classes import define
from plankspindle_daemon.status_changes.contact_monitor import ContactMonitor
from plankspindle_daemon.status_changes.limit_monitor import LimitMonitor
from plankspindle_daemon.status_changes.member_monitor import MemberMonitor
from plankspindle_daemon.status_changes.plan_monitor import PlanMonitor
from plankspindle_daemon.status_changes.quarantine_changes import pop_changes
from plankspindle_daemon.status_changes.status_change import StatusChange
from plankspindle_daemon.status_changes.upstream_monitor import UpstreamMonitor

if TYPE_CHECKING:
    from collections.abc import Iterator

    from plankspindle_daemon.node.node import Node
    from plankspindle_daemon.platform.bounded_calls import BoundedCalls

MIN_SHARE_CHANGE = 0.1
"""Smallest change of the share of requests leaving the region that is logged."""


@define(kw_only=True)
class StatusMonitor:
    """Compare the status observed by a node with that of the previous check.

    Attributes
    ----------
    upstreams : UpstreamMonitor
        Monitor of the upstreams.
    members : MemberMonitor
        Monitor of the entry VMs.
    plans : PlanMonitor
        Monitor of the affinity keys that leave the region.
    contact : ContactMonitor
        Monitor of the connections to all upstreams together.
    limits : LimitMonitor
        Monitor of the limits of upstreams.
    """

    upstreams: UpstreamMonitor = field(factory=UpstreamMonitor)
    members: MemberMonitor = field(factory=MemberMonitor)
    plans: PlanMonitor = field(factory=PlanMonitor)
    contact: ContactMonitor = field(factory=ContactMonitor)
    limits: LimitMonitor = field(factory=LimitMonitor)
    _readiness: str | None = None
    _reader_role: str | None = None
    _remote_share: float = 0.0
    _drain_ids: frozenset[str] = frozenset()
    _platform_lost_at: float | None = None

    def observe(
        self, node: Node, calls: BoundedCalls, now: float
    ) -> list[StatusChange]:
        """Return the changes since the previous call.

        Parameters
        ----------
        node : Node
            Decision logic of this VM.
        calls : BoundedCalls
            Calls to the platform.
        now : float
            Monotonic seconds.
        """
        return [
            *self.upstreams.observe(node.dispatchers_by_service, now),
            *self.members.observe(node.membership, now),
            *self.plans.observe(node.dispatchers_by_service),
            *self.contact.observe(node.reach, now),
            *self.limits.observe(node.quotas.limits, now),
            *self._platform_changes(calls, now),
            *self._drain_changes(node),
            *self._own_changes(node),
            *self._reader_role_changes(node, now),
            *pop_changes(node.quarantine),
        ]

    def _platform_changes(
        self, calls: BoundedCalls, now: float
    ) -> Iterator[StatusChange]:
        if not calls.available and self._platform_lost_at is None:
            self._platform_lost_at = now
            yield StatusChange(
                event="platform_lost", fields={"seen": calls.last_failure}
            )
        elif calls.available and self._platform_lost_at is not None:
            outage_ms = round(1000 * (now - self._platform_lost_at))
            self._platform_lost_at = None
            yield StatusChange(event="platform_regained", fields={"away_ms": outage_ms})

    def _drain_changes(self, node: Node) -> Iterator[StatusChange]:
        if node.configuration is None:
            return
        drain_ids = frozenset(node.configuration.drains_by_id)
        for drain in sorted(drain_ids - self._drain_ids):
            yield StatusChange(event="drain_began", fields={"drain": drain})
        for drain in sorted(self._drain_ids - drain_ids):
            yield StatusChange(event="drain_ended", fields={"drain": drain})
        self._drain_ids = drain_ids

    def _reader_role_changes(self, node: Node, now: float) -> Iterator[StatusChange]:
        role = node.shared_reads.role(now).value
        if role != self._reader_role:
            previous, self._reader_role = self._reader_role, role
            yield StatusChange(
                event="platform_reads", fields={"was": previous, "now": role}
            )

    def _own_changes(self, node: Node) -> Iterator[StatusChange]:
        readiness = node.readiness().value
        if readiness != self._readiness:
            previous, self._readiness = self._readiness, readiness
            yield StatusChange(
                event="readiness", fields={"was": previous, "now": readiness}
            )
        share = node.services.limiter.share
        if abs(share - self._remote_share) >= MIN_SHARE_CHANGE:
            previous_share, self._remote_share = self._remote_share, share
            fields = {"was": round(previous_share, 3), "now": round(share, 3)}
            yield StatusChange(event="part_leaving_region", fields=fields)
