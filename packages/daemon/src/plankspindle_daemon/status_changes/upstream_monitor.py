"""Notices when what is believed of an upstream changes."""

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
    """Compare the standing of each upstream with the one before.

    Attributes
    ----------
    ejections_by_service : Counter of str
        How often upstreams were backed off.
    """

    ejections_by_service: Counter[str] = field(factory=Counter)
    _statuses_by_service: dict[str, dict[str, UpstreamStatus]] = field(factory=dict)
    _statement_by_name: dict[str, UpstreamStatement] = field(factory=dict)

    def observe(
        self, dispatchers_by_service: Mapping[str, Dispatcher], now: float
    ) -> list[StatusChange]:
        """Give what has changed since the last time.

        Parameters
        ----------
        dispatchers_by_service : mapping of str to Dispatcher
            Keepers of the upstreams.
        now : float
            Monotonic seconds.
        """
        beliefs: list[StatusChange] = []
        for service, dispatcher in dispatchers_by_service.items():
            present = dispatcher.upstreams_by_name
            known = self._statuses_by_service.setdefault(service, {})
            for name, upstream in present.items():
                beliefs += self._statement_changes(service, upstream)
                standing = upstream.status(now)
                was = known.get(name)
                if standing is was:
                    continue
                known[name] = standing
                if was is None and standing is UpstreamStatus.HEALTHY:
                    continue
                if standing is UpstreamStatus.BACKED_OFF:
                    self.ejections_by_service[service] += 1
                beliefs.append(_status_change(service, upstream, was, now))
            for gone in _removals(service, known, present):
                self._statement_by_name.pop(str(gone.fields["upstream"]), None)
                beliefs.append(gone)
        return beliefs

    def _statement_changes(
        self, service: str, upstream: UpstreamState
    ) -> Iterator[StatusChange]:
        """Give what an upstream says of itself, where that is another than before."""
        was = self._statement_by_name.get(upstream.name, NO_STATEMENT)
        stated = upstream.last_statement
        if stated == was:
            return
        self._statement_by_name[upstream.name] = stated
        fields = {
            "service": service,
            "upstream": upstream.name,
            "limit_per_s": stated.limit_per_s,
            "limit_before_per_s": was.limit_per_s,
            "leaving": stated.is_leaving or None,
            "rest_s": stated.retry_after_s,
            "unreadable": "; ".join(stated.unreadable) or None,
        }
        yield StatusChange(event="upstream_stated", fields=fields)


def _removals(
    service: str, known: dict[str, UpstreamStatus], present: Mapping[str, UpstreamState]
) -> Iterator[StatusChange]:
    """Forget the upstreams that are there no more."""
    for name in sorted(known.keys() - present.keys()):
        was = known.pop(name)
        fields = {"service": service, "upstream": name, "was": was.value}
        yield StatusChange(event="upstream_standing", fields={**fields, "now": REMOVED})


def _status_change(
    service: str, upstream: UpstreamState, was: UpstreamStatus | None, now: float
) -> StatusChange:
    seen, answered_at = upstream.evidence, upstream.answered_at
    return StatusChange(
        event="upstream_standing",
        fields={
            "service": service,
            "upstream": upstream.name,
            "was": NEW if was is None else was.value,
            "now": upstream.status(now).value,
            "in_flight": upstream.ledger.in_flight,
            "seen": seen,
            "seen_ms_ago": None if seen is None else _ms(now - upstream.evidence_at),
            "answered_ms_ago": _ms(now - answered_at) if answered_at else None,
        },
    )


def _ms(seconds: float) -> int:
    return round(1000 * seconds)
