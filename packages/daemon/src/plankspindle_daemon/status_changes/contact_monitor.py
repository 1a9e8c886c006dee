"""Detects that no upstream accepts connections of this VM any more."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from plankspindle_core.classes import define
from plankspindle_daemon.status_changes.status_change import StatusChange

if TYPE_CHECKING:
    from collections.abc import Iterator

    from plankspindle_daemon.reachability.contact_record import ContactRecord

MIN_FAILED_UPSTREAMS = 3
"""Upstreams that must have failed, without a connection to any other, to log it."""


@define(kw_only=True)
class ContactMonitor:
    """Report when connections to all upstreams begin and cease to fail."""

    _is_lost: bool = False

    def observe(self, contact: ContactRecord, now: float) -> Iterator[StatusChange]:
        """Yield the change since the previous call, if any.

        Parameters
        ----------
        contact : ContactRecord
            Connections of this VM to upstreams.
        now : float
            Monotonic seconds.
        """
        failed = len(contact.failed_at_by_upstream)
        is_lost = failed >= MIN_FAILED_UPSTREAMS or (self._is_lost and failed > 0)
        if is_lost == self._is_lost:
            return
        self._is_lost = is_lost
        fields = {
            "now": "lost" if is_lost else "regained",
            "failed": failed,
            "failing_ms": round(1000 * contact.failing_for_s(now)),
            "connected_ms_ago": _age_ms(contact.connected_at, now),
            "answered_ms_ago": _age_ms(contact.answered_at, now),
            "seen": contact.last_failure,
        }
        yield StatusChange(event="upstream_contact", fields=fields)


def _age_ms(at: float, now: float) -> int | None:
    return None if math.isinf(at) else round(1000 * (now - at))
