"""Notices every change of what this VM believes, to be logged with its evidence."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import field

from plankspindle_core.classes import define
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
"""Change of the part of requests that leave the region which is worth a line."""


@define(kw_only=True)
class StatusMonitor:
    """Compare what a node believes with what it believed before.

    Attributes
    ----------
    upstreams : UpstreamMonitor
        Watch of the upstreams.
    members : MemberMonitor
        Watch of the entry VMs.
    plans : PlanMonitor
        Watch of the keys that leave the region.
    """

    upstreams: UpstreamMonitor = field(factory=UpstreamMonitor)
    members: MemberMonitor = field(factory=MemberMonitor)
    plans: PlanMonitor = field(factory=PlanMonitor)
    _readiness: str | None = None
    _reader_role: str | None = None
    _remote_share: float = 0.0
    _drain_ids: frozenset[str] = frozenset()
    _platform_lost_at: float | None = None

    def observe(
        self, node: Node, calls: BoundedCalls, now: float
    ) -> list[StatusChange]:
        """Give what has changed since the last time.

        Parameters
        ----------
        node : Node
            The decisions.
        calls : BoundedCalls
            Calls to the platform.
        now : float
            Monotonic seconds.
        """
        return [
            *self.upstreams.observe(node.dispatchers_by_service, now),
            *self.members.observe(node.membership, now),
            *self.plans.observe(node.dispatchers_by_service),
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
            away_ms = round(1000 * (now - self._platform_lost_at))
            self._platform_lost_at = None
            yield StatusChange(event="platform_regained", fields={"away_ms": away_ms})

    def _drain_changes(self, node: Node) -> Iterator[StatusChange]:
        if node.configuration is None:
            return
        drains = frozenset(node.configuration.drains_by_id)
        for drain in sorted(drains - self._drain_ids):
            yield StatusChange(event="drain_began", fields={"drain": drain})
        for drain in sorted(self._drain_ids - drains):
            yield StatusChange(event="drain_ended", fields={"drain": drain})
        self._drain_ids = drains

    def _reader_role_changes(self, node: Node, now: float) -> Iterator[StatusChange]:
        role = node.shared_reads.role(now).value
        if role != self._reader_role:
            was, self._reader_role = self._reader_role, role
            yield StatusChange(event="platform_reads", fields={"was": was, "now": role})

    def _own_changes(self, node: Node) -> Iterator[StatusChange]:
        readiness = node.readiness().value
        if readiness != self._readiness:
            was, self._readiness = self._readiness, readiness
            yield StatusChange(event="readiness", fields={"was": was, "now": readiness})
        part = node.services.limiter.share
        if abs(part - self._remote_share) >= MIN_SHARE_CHANGE:
            was_part, self._remote_share = self._remote_share, part
            fields = {"was": round(was_part, 3), "now": round(part, 3)}
            yield StatusChange(event="part_leaving_region", fields=fields)
