"""Hints between entry VMs on upstreams that answer nobody."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_core.classes import frozen
from plankspindle_daemon.dispatch.service_registry import ServiceRegistry
from plankspindle_daemon.upstreams.unresponsive_hints import HINT_DECAY_S

if TYPE_CHECKING:
    from plankspindle_daemon.peer_messages.heartbeat import Heartbeat
    from plankspindle_daemon.upstreams.upstream_state import UpstreamState

MAX_HINTS = 8
"""Silent upstreams that a heartbeat names, in about 100 bytes."""


@frozen(kw_only=True)
class UnresponsiveHintRelay:
    """Give hints on silent upstreams, and take those of other entry VMs.

    Parameters
    ----------
    services : ServiceRegistry
        The upstreams of all services.
    """

    services: ServiceRegistry

    def collect(self, now: float) -> tuple[UpstreamState, ...]:
        """Give upstreams that answer none of this VM's requests, not too many.

        None if heartbeats are rarer than hints last: looking through 900 upstreams for
        each heartbeat took 1 percent of the loop, and nobody could use what was found.
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
        """Take what an entry VM tells of silent upstreams, of their present life."""
        names, incarnations = heartbeat.silent_upstreams, heartbeat.silent_incarnations
        hints = zip(names, incarnations or (0,) * len(names), strict=False)
        for name, incarnation in hints:
            for dispatcher in self.services.dispatchers_by_service.values():
                upstream = dispatcher.upstreams_by_name.get(name)
                if upstream is not None and upstream.incarnation == incarnation:
                    upstream.record_hint(heartbeat.failure_domain, now)
