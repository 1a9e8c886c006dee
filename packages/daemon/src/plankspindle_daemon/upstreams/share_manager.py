"""Shares of upstreams, adjusted to the members of the failure domain."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory
from attrs import field

from plankspindle_core.classes import define
from plankspindle_daemon.membership.membership import Membership
from plankspindle_daemon.upstreams.slot_ledger import SlotLedger
from plankspindle_daemon.upstreams.slot_share import share_of

if TYPE_CHECKING:
    from collections.abc import Iterable

    from plankspindle_daemon.upstreams.upstream_state import UpstreamState


@define(kw_only=True)
class ShareManager:
    """Shrink shares at once; grow them once no other member uses their slots.

    Parameters
    ----------
    vm : str
        Name of this VM.
    membership : Membership
        The members.
    started_at : float
        When the process started, monotonic seconds.
    settle_s : float
        Time for which a process that has started, or was paused, waits for heartbeats
        of peers before it takes slots, in seconds. Reading the VM list does not shorten
        it: the list may lack VMs that still run.
    """

    vm: str
    membership: Membership
    started_at: float
    settle_s: float
    _settling_since: float = field(init=False)
    _digest: int = 0
    _target_by_upstream: dict[tuple[str, int], int] = Factory(dict)

    def __attrs_post_init__(self) -> None:
        self._settling_since = self.started_at

    def restart_settling(self, now: float) -> None:
        """Wait for heartbeats of peers again, as after a pause of the process."""
        self._settling_since = now

    def update_all(
        self,
        upstreams: Iterable[UpstreamState],
        *,
        max_request_s: float,
        now: float,
    ) -> bool:
        """Adjust the shares of a service's upstreams towards their targets.

        Parameters
        ----------
        upstreams : iterable of UpstreamState
            Upstreams; those whose slots are not shared out among members are skipped.
        max_request_s : float
            Longest timeout of their requests, in seconds.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            True if a share grew.
        """
        grew = [
            self.update(each.name, each.ledger, max_request_s=max_request_s, now=now)
            for each in upstreams
            if isinstance(each.ledger, SlotLedger)
        ]
        return any(grew)

    def update(
        self, upstream: str, ledger: SlotLedger, *, max_request_s: float, now: float
    ) -> bool:
        """Adjust the share of one upstream towards its target.

        Parameters
        ----------
        upstream : str
            Name of the upstream.
        ledger : SlotLedger
            Its slots.
        max_request_s : float
            Longest timeout of its requests, in seconds.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            True if the share grew.
        """
        target = self._target(upstream, ledger.slots)
        if target == ledger.share:
            return False
        ledger.shrink_share(target)
        settled = now - self._settling_since >= self.settle_s
        if target <= ledger.share or not settled:
            return False
        if not self.membership.may_grow_share(
            upstream, now=now, max_request_s=max_request_s
        ):
            return False
        ledger.grow_share(target)
        return True

    def _target(self, upstream: str, slots: int) -> int:
        digest = self.membership.view_digest()
        if digest != self._digest:
            self._digest = digest
            self._target_by_upstream.clear()
        key = (upstream, slots)
        target = self._target_by_upstream.get(key)
        if target is None:
            members = self.membership.member_names()
            target = share_of(
                vm=self.vm, members=members, upstream=upstream, slots=slots
            )
            self._target_by_upstream[key] = target
        return target
