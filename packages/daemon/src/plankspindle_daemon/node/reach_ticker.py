"""What a node does when it ceases to reach upstreams."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from plankspindle_core.classes import define
from plankspindle_daemon.dispatch.messages import DispatchEvent
from plankspindle_daemon.dispatch.messages import UpstreamsUnreachable
from plankspindle_daemon.node.effects import NodeEffect
from plankspindle_daemon.reachability.upstream_reach import UpstreamReach

if TYPE_CHECKING:
    from collections.abc import Iterable


@define(kw_only=True)
class ReachTicker:
    """Probe upstreams when that is due, and release requests once none is reached.

    Parameters
    ----------
    reach : UpstreamReach
        Whether this VM reaches upstreams.
    handle_dispatch : callable
        Passes an event to the dispatcher of a service, at a time in monotonic seconds.
    """

    reach: UpstreamReach
    handle_dispatch: Callable[[str, DispatchEvent, float], list[NodeEffect]]
    _was_cut_off: bool = False

    def tick(self, services: Iterable[str], now: float) -> list[NodeEffect]:
        """Return the effects that are due.

        Parameters
        ----------
        services : iterable of str
            Names of all services.
        now : float
            Monotonic seconds.
        """
        effects: list[NodeEffect] = [*self.reach.tick(now)]
        is_cut_off = self.reach.is_cut_off
        if is_cut_off and not self._was_cut_off:
            for service in services:
                effects += self.handle_dispatch(service, UpstreamsUnreachable(), now)
        self._was_cut_off = is_cut_off
        return effects
