"""Detects that this VM reaches no upstream any more, and that it does again."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from plankspindle_core.classes import define
from plankspindle_daemon.status_changes.status_change import StatusChange

if TYPE_CHECKING:
    from collections.abc import Iterator

    from plankspindle_daemon.reachability.upstream_reach import UpstreamReach


@define(kw_only=True)
class ContactMonitor:
    """Report when this VM is cut off from all upstreams, and when no longer."""

    _is_lost: bool = False
    _lost_at: float = 0.0

    def observe(self, reach: UpstreamReach, now: float) -> Iterator[StatusChange]:
        """Yield the change since the previous call, if any.

        Parameters
        ----------
        reach : UpstreamReach
            Whether this VM reaches upstreams.
        now : float
            Monotonic seconds.
        """
        if reach.is_cut_off == self._is_lost:
            return
        self._is_lost = reach.is_cut_off
        lost_ms = None
        if self._is_lost:
            self._lost_at = now
        else:
            lost_ms = round(1000 * (now - self._lost_at))
        contact = reach.contact
        fields = {
            "now": "lost" if self._is_lost else "regained",
            "lost_ms": lost_ms,
            "failed": ",".join(sorted(contact.failed_at_by_upstream)) or None,
            "failing_ms": round(1000 * contact.failing_for_s(now)),
            "connected_ms_ago": _age_ms(contact.connected_at, now),
            "answered_ms_ago": _age_ms(contact.answered_at, now),
            "seen": contact.last_failure_text,
        }
        yield StatusChange(event="upstream_contact", fields=fields)


def _age_ms(at: float, now: float) -> int | None:
    return None if math.isinf(at) else round(1000 * (now - at))
