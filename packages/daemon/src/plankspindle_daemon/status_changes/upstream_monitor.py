"""Detects changes of the observed status of upstreams."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from attrs import field

from plankspindle_core.classes import define
from plankspindle_daemon.status_changes.status_change import StatusChange
from plankspindle_daemon.upstreams.upstream_statement import NO_STATEMENT
from plankspindle_daemon.upstreams.upstream_statement import UpstreamStatement
from plankspindle_daemon.upstreams.upstream_status import UpstreamStatus

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

    from plankspindle_daemon.dispatch.dispatcher import Dispatcher
    from plankspindle_daemon.upstreams.upstream_state import UpstreamState

NEW = "new"
REMOVED = "gone"


@define(kw_only=True)
class UpstreamMonitor:
    """Compare the status of each upstream with that of the previous check.

    Attributes
    ----------
    ejections_by_service : Counter of str
        How often an upstream of the service became backed off.
    """

    ejections_by_service: Counter[str] = field(factory=Counter)
    _statuses_by_service: dict[str, dict[str, UpstreamStatus]] = field(factory=dict)
    _statement_by_name: dict[str, UpstreamStatement] = field(factory=dict)

    def observe(
        self, dispatchers_by_service: Mapping[str, Dispatcher], now: float
    ) -> list[StatusChange]:
        """Return the changes since the previous call.

        Parameters
        ----------
        dispatchers_by_service : mapping of str to Dispatcher
            Dispatchers, which have the upstreams.
        now : float
            Monotonic seconds.
        """
        changes: list[StatusChange] = []
        for service, dispatcher in dispatchers_by_service.items():
            upstreams_by_name = dispatcher.upstreams_by_name
            status_by_name = self._statuses_by_service.setdefault(service, {})
            for name, upstream in upstreams_by_name.items():
                if upstream.last_statement is not self._statement_by_name.get(
                    name, NO_STATEMENT
                ):
                    changes += self._statement_changes(service, upstream)
                status = upstream.status(now)
                previous = status_by_name.get(name)
                if status is previous:
                    continue
                status_by_name[name] = status
                if previous is None and status is UpstreamStatus.HEALTHY:
                    continue
                if status is UpstreamStatus.BACKED_OFF:
                    self.ejections_by_service[service] += 1
                changes.append(_status_change(service, upstream, previous, now))
            for removal in _removals(service, status_by_name, upstreams_by_name):
                self._statement_by_name.pop(str(removal.fields["upstream"]), None)
                changes.append(removal)
        return changes

    def _statement_changes(
        self, service: str, upstream: UpstreamState
    ) -> Iterator[StatusChange]:
        """Yield the statement of an upstream if it differs from the previous one."""
        previous = self._statement_by_name.get(upstream.name, NO_STATEMENT)
        statement = upstream.last_statement
        if statement == previous:
            return
        self._statement_by_name[upstream.name] = statement
        fields = {
            "service": service,
            "upstream": upstream.name,
            "limit_per_s": statement.limit_per_s,
            "limit_before_per_s": previous.limit_per_s,
            "leaving": statement.is_leaving or None,
            "rest_s": statement.retry_after_s,
            "unreadable": "; ".join(statement.unreadable) or None,
        }
        yield StatusChange(event="upstream_stated", fields=fields)


def _removals(
    service: str,
    status_by_name: dict[str, UpstreamStatus],
    upstreams_by_name: Mapping[str, UpstreamState],
) -> Iterator[StatusChange]:
    """Discard removed upstreams and yield their removals."""
    for name in sorted(status_by_name.keys() - upstreams_by_name.keys()):
        previous = status_by_name.pop(name)
        fields = {"service": service, "upstream": name, "was": previous.value}
        yield StatusChange(event="upstream_standing", fields={**fields, "now": REMOVED})


def _status_change(
    service: str, upstream: UpstreamState, previous: UpstreamStatus | None, now: float
) -> StatusChange:
    evidence, answered_at = upstream.evidence, upstream.answered_at
    return StatusChange(
        event="upstream_standing",
        fields={
            "service": service,
            "upstream": upstream.name,
            "was": NEW if previous is None else previous.value,
            "now": upstream.status(now).value,
            "in_flight": upstream.ledger.in_flight,
            "seen": evidence,
            "seen_ms_ago": None
            if evidence is None
            else _ms(now - upstream.evidence_at),
            "answered_ms_ago": _ms(now - answered_at) if answered_at else None,
        },
    )


def _ms(seconds: float) -> int:
    return round(1000 * seconds)
