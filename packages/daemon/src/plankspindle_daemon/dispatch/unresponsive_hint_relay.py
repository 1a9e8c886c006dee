"""Hints between entry VMs about unresponsive upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_core.classes import frozen
from plankspindle_daemon.dispatch.service_registry import ServiceRegistry
from plankspindle_daemon.upstreams.unresponsive_hints import HINT_DECAY_S

if TYPE_CHECKING:
    from plankspindle_daemon.peer_messages.heartbeat import Heartbeat
    from plankspindle_daemon.upstreams.upstream_state import UpstreamState

MAX_HINTS = 8
"""Maximum of unresponsive upstreams that a heartbeat names, in about 100 bytes."""


@frozen(kw_only=True)
class UnresponsiveHintRelay:
    """Collect hints about unresponsive upstreams, and apply those of other entry VMs.

    Parameters
    ----------
    services : ServiceRegistry
        Upstreams of all services.
    """

    services: ServiceRegistry

    def collect(self, now: float) -> tuple[UpstreamState, ...]:
        """Return upstreams that answer none of this VM's requests, up to a limit.

        Empty if the heartbeat period is longer than the lifetime of a hint: scanning
        900 upstreams for each heartbeat took 1 percent of the event loop, and the hints
        would expire before they could be used.
        """
        if self.services.membership.heartbeat_period_s() > HINT_DECAY_S:
            return ()
        silent = [
            upstream
            for dispatcher in self.services.dispatchers_by_service.values()
            for upstream in dispatcher.upstreams_by_name.values()
            if upstream.should_send_hint(now)
        ]
        return tuple(silent[:MAX_HINTS])

    def apply(self, heartbeat: Heartbeat, now: float) -> None:
        """Apply an entry VM's hints on current incarnations of upstreams.

        Those of a VM that reaches no upstream tell nothing of any one of them.
        """
        if heartbeat.is_cut_off:
            return
        names, incarnations = heartbeat.silent_upstreams, heartbeat.silent_incarnations
        hints = zip(names, incarnations or (0,) * len(names), strict=False)
        for name, incarnation in hints:
            for dispatcher in self.services.dispatchers_by_service.values():
                upstream = dispatcher.upstreams_by_name.get(name)
                if upstream is not None and upstream.incarnation == incarnation:
                    upstream.record_hint(heartbeat.failure_domain, now)
