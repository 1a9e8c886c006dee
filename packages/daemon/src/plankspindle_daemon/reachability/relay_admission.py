"""Admission of requests that other entry VMs relay to this one."""

from __future__ import annotations

import math
from enum import Enum
from typing import TYPE_CHECKING

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_daemon.peer_messages.readiness import Readiness

if TYPE_CHECKING:
    from plankspindle_daemon.reachability.relay_ticket import RelayTicket
    from plankspindle_daemon.reachability.upstream_reach import UpstreamReach
    from plankspindle_daemon.versions.configuration_version import ConfigurationVersion

MAX_IN_FLIGHT = 256
"""Relayed requests that one VM serves at once, which bounds memory and descriptors."""
MAX_LOOP_LAG_S = 0.03
"""Lag of the event loop above which relays are declined, in seconds.

Those who asked this VM itself come first, and a lag adds to every step of a request.
"""
ANNOUNCEMENT_GAP_S = 0.05
"""Least time between two announcements to a VM that relays here, in seconds."""
LAG_DECAY = 0.5
"""Part of an earlier lag that is still counted at the next measurement."""


class DeclineReason(Enum):
    """Why a relayed request is not served here; it has not run."""

    INVALID_TICKET = "relay-ticket-invalid"
    CUT_OFF = "cut-off"
    NOT_READY = "relay-not-ready"
    OLDER_CONFIGURATION = "relay-configuration-older"
    BUSY = "relay-busy"


DECLINE_REASONS = frozenset(each.value for each in DeclineReason)
"""Reasons for which another entry VM may be asked instead."""


@define(kw_only=True)
class RelayAdmission:
    """Decide which relayed requests this VM serves.

    Attributes
    ----------
    in_flight, accepted, declined : int
        Relayed requests that are served now, that were accepted, and declined.
    loop_lag_s : float
        Recent lag of the event loop, in seconds.
    """

    in_flight: int = 0
    accepted: int = 0
    declined: int = 0
    loop_lag_s: float = 0.0
    _announced_at_by_vm: dict[str, float] = Factory(dict)

    def record_loop_lag(self, lag_s: float) -> None:
        """Record how long a task that was ready waited for its turn."""
        self.loop_lag_s = max(lag_s, LAG_DECAY * self.loop_lag_s)

    def must_announce(
        self, ticket: RelayTicket, version: ConfigurationVersion, now: float
    ) -> bool:
        """Return once whether the VM that relays may not know the version in force.

        Parameters
        ----------
        ticket : RelayTicket
            Ticket of the relayed request.
        version : ConfigurationVersion
            Version in force here.
        now : float
            Monotonic seconds.
        """
        last_at = self._announced_at_by_vm.get(ticket.sender, -math.inf)
        if ticket.version >= version or now - last_at < ANNOUNCEMENT_GAP_S:
            return False
        self._announced_at_by_vm[ticket.sender] = now
        return True

    def admit(
        self,
        ticket: RelayTicket | None,
        *,
        reach: UpstreamReach,
        readiness: Readiness,
        version: ConfigurationVersion,
    ) -> DeclineReason | None:
        """Decide on a relayed request; None if it is served here.

        Parameters
        ----------
        ticket : RelayTicket, optional
            Its ticket; None if that is not valid.
        reach : UpstreamReach
            Whether this VM reaches upstreams.
        readiness : Readiness
            Readiness of this VM.
        version : ConfigurationVersion
            Version in force here.
        """
        reason = self._decline_reason(ticket, reach, readiness, version)
        if reason is None:
            self.accepted += 1
        else:
            self.declined += 1
        return reason

    def _decline_reason(
        self,
        ticket: RelayTicket | None,
        reach: UpstreamReach,
        readiness: Readiness,
        version: ConfigurationVersion,
    ) -> DeclineReason | None:
        if ticket is None:
            return DeclineReason.INVALID_TICKET
        if reach.is_cut_off:
            return DeclineReason.CUT_OFF
        if readiness is not Readiness.READY:
            return DeclineReason.NOT_READY
        if version < ticket.version:
            return DeclineReason.OLDER_CONFIGURATION
        if self.in_flight >= MAX_IN_FLIGHT or self.loop_lag_s > MAX_LOOP_LAG_S:
            return DeclineReason.BUSY
        return None
