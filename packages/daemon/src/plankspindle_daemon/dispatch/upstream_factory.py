"""Creation of the state of new upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_core.classes import frozen
from plankspindle_core.configuration.service import SlotSharing
from plankspindle_daemon.upstreams.fleet_limiter import FleetLimiter
from plankspindle_daemon.upstreams.health import Ramping
from plankspindle_daemon.upstreams.health import UpstreamHealth
from plankspindle_daemon.upstreams.health import Warm
from plankspindle_daemon.upstreams.reported_slots import ReportedSlots
from plankspindle_daemon.upstreams.slot_ledger import SlotLedger
from plankspindle_daemon.upstreams.statement_store import StatementStore
from plankspindle_daemon.upstreams.upstream_state import UpstreamState

if TYPE_CHECKING:
    from plankspindle_core.configuration.service import Service
    from plankspindle_core.configuration.upstream import Upstream
    from plankspindle_daemon.dispatch.dispatcher import Dispatcher


@frozen(kw_only=True)
class UpstreamFactory:
    """Create the state of upstreams that the dispatchers begin to use.

    Parameters
    ----------
    limiter_by_incarnation : dict of str to FleetLimiter
        Rate limits over all entry VMs that upstreams stated.
    statements : StatementStore
        What upstreams stated about themselves.
    """

    limiter_by_incarnation: dict[str, FleetLimiter]
    statements: StatementStore

    def create(
        self,
        dispatcher: Dispatcher,
        service: Service,
        *,
        name: str,
        upstream: Upstream,
        incarnation: int,
        is_new: bool,
        now: float,
    ) -> UpstreamState:
        """Create the state of an upstream.

        Parameters
        ----------
        dispatcher : Dispatcher
            Dispatcher that will use it.
        service : Service
            Service that it runs.
        name : str
            Name of the upstream.
        upstream : Upstream
            Its declaration.
        incarnation : int
            Its incarnation; zero if the platform does not report it.
        is_new : bool
            Whether it has just started, so that its load is to grow slowly.
        now : float
            Monotonic time in seconds.
        """
        reported = service.slot_sharing is SlotSharing.REPORTED
        dispatcher.shares_slots |= not reported
        ledger = (
            ReportedSlots(slots=upstream.slots, average_use=dispatcher.average_use)
            if reported
            else SlotLedger(slots=upstream.slots)
        )
        state = UpstreamState(
            name=name,
            upstream=upstream,
            health=UpstreamHealth(
                random=dispatcher.random,
                state=Ramping(now) if is_new and not reported else Warm(),
                needs_probe=not reported,
            ),
            ledger=ledger,
            incarnation=incarnation,
            limiter_by_incarnation=self.limiter_by_incarnation,
            statements=self.statements,
        )
        state.apply_earlier_statements(now)
        return state
