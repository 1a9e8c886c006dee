"""Requests for the tokens that this VM's requests need."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import field

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_daemon.peer_messages.peer_message import SendToPeer
from plankspindle_daemon.peer_messages.quota_messages import NO_UPSTREAM_LIMIT
from plankspindle_daemon.peer_messages.quota_messages import TokenGrant
from plankspindle_daemon.peer_messages.quota_messages import TokenRequest
from plankspindle_daemon.quotas.holder_map import HolderMap
from plankspindle_daemon.quotas.holder_map import QuotaVm
from plankspindle_daemon.quotas.limit_holder import FleetLimit
from plankspindle_daemon.quotas.limit_holder import LimitHolder
from plankspindle_daemon.quotas.messages import TokenRefused
from plankspindle_daemon.quotas.messages import TokenTaken
from plankspindle_daemon.quotas.quota_holder import QuotaHolder
from plankspindle_daemon.quotas.quota_holder import shard_of
from plankspindle_daemon.quotas.quota_options import FIRST_CLAIM_PERIOD_S
from plankspindle_daemon.quotas.share_lessor import ShareLessor

if TYPE_CHECKING:
    from collections.abc import Container

LOCAL_ANSWER_TIMEOUT_S = 0.1
REMOTE_ANSWER_TIMEOUT_S = 0.25
"""Answer timeouts for a holder in the local region and in a remote one, in seconds."""
UNANSWERED_RETRY_S = 1.0
"""Time for which a region is skipped after its holder did not answer, in seconds."""
MAX_TOKEN_WAIT_S = 0.4
"""Maximum wait for a holder that has no shares yet, as after a start, in seconds."""
SPARE_TOKEN_LIFETIME_S = 0.5
"""Lifetime of a token whose request was not sent to an upstream, in seconds.

It is short, since a token that is used late counts in a later window.
"""

TokenRequesterEffect = TokenTaken | TokenRefused | SendToPeer


@frozen(kw_only=True)
class _PendingRequest:
    request_id: int
    region: str
    count: int
    until: float


@frozen(kw_only=True)
class _BlockedRegion:
    """A region that grants no tokens until a time."""

    until: float
    is_over_quota: bool


@frozen(kw_only=True)
class _WaitingRequest:
    ticket: int
    until: float


@define(kw_only=True)
class _Demand:
    """Requests of one workspace that need tokens."""

    waiting: list[_WaitingRequest] = Factory(list)
    retry_at: float = 0.0
    pending: _PendingRequest | None = None
    blocked_by_region: dict[str, _BlockedRegion] = Factory(dict)
    spare_tokens_until: list[float] = Factory(list)


@define(kw_only=True)
class TokenRequester:
    """Request tokens from holders, first from that of the local region.

    Parameters
    ----------
    vm, region : str
        This VM and its region.
    random : Random
        Source of request ids and of the choice among remote regions.
    holder : QuotaHolder or LimitHolder
        Holder on this VM.
    lessor : ShareLessor
        Lessor of this VM's share, which knows the holder that has it.
    holder_map : HolderMap
        Holders on other VMs.
    limit_of : callable, optional
        Returns the limit of an upstream's incarnation, if tokens are for upstreams.

    Attributes
    ----------
    admitted_by_workspace, refused_by_workspace : Counter of str
        Requests here that got a token, and that got none.
    """

    vm: str
    random: Random
    holder: QuotaHolder | LimitHolder
    lessor: ShareLessor
    holder_map: HolderMap
    limit_of: Callable[[str], FleetLimit | None] | None = None
    region: str = ""
    admitted_by_workspace: Counter[str] = field(factory=Counter)
    refused_by_workspace: Counter[str] = field(factory=Counter)
    _demand_by_workspace: dict[str, _Demand] = Factory(dict)
    _workspace_by_request: dict[int, str] = field(factory=dict)

    def request_token(
        self, ticket: int, workspace: str, now: float
    ) -> list[TokenRequesterEffect]:
        """Get a token for a request, from the spare ones or from a holder."""
        demand = self._demand_by_workspace.setdefault(workspace, _Demand())
        while demand.spare_tokens_until:
            if demand.spare_tokens_until.pop() > now:
                self.admitted_by_workspace[workspace] += 1
                return [TokenTaken(ticket=ticket)]
        demand.waiting.append(
            _WaitingRequest(ticket=ticket, until=now + MAX_TOKEN_WAIT_S)
        )
        return self._request_tokens(workspace, demand, now)

    def remove_all_except(self, workspaces: Container[str]) -> None:
        """Remove workspaces that are no longer limited, unless requests wait."""
        for name, demand in list(self._demand_by_workspace.items()):
            if name not in workspaces and not demand.waiting:
                del self._demand_by_workspace[name]
                del self.admitted_by_workspace[name]
                del self.refused_by_workspace[name]

    def cancel(self, ticket: int, workspace: str) -> None:
        """Remove a request that no longer waits."""
        demand = self._demand_by_workspace.get(workspace)
        if demand is not None:
            demand.waiting = [each for each in demand.waiting if each.ticket != ticket]

    def unblock(self, workspace: str) -> None:
        """Request tokens again at once, as more of them are available than before."""
        demand = self._demand_by_workspace.get(workspace)
        if demand is not None:
            demand.blocked_by_region.clear()
            demand.retry_at = 0.0

    def return_token(self, workspace: str, now: float) -> None:
        """Keep the token of a request that was sent to no upstream as a spare one."""
        demand = self._demand_by_workspace.get(workspace)
        if demand is not None:
            demand.spare_tokens_until.append(now + SPARE_TOKEN_LIFETIME_S)

    def handle_grant(self, grant: TokenGrant, now: float) -> list[TokenRequesterEffect]:
        """Handle the answer of a holder; a late one is ignored."""
        workspace = self._workspace_by_request.pop(grant.request_id, None)
        demand = self._demand_by_workspace.get(workspace or "")
        if workspace is None or demand is None or demand.pending is None:
            return []
        if demand.pending.request_id != grant.request_id:
            return []
        pending, demand.pending = demand.pending, None
        count = min(grant.count, pending.count)
        effects = self._assign_tokens(workspace, demand, count, now)
        if count < pending.count:
            demand.blocked_by_region[pending.region] = _BlockedRegion(
                until=now + grant.retry_after_ms / 1000,
                is_over_quota=grant.has_share,
            )
        return [*effects, *self._request_tokens(workspace, demand, now)]

    def tick(self, now: float) -> list[TokenRequesterEffect]:
        """Give up on holders that have not answered in time, and ask the next ones."""
        effects: list[TokenRequesterEffect] = []
        for workspace, demand in self._demand_by_workspace.items():
            if demand.pending is not None and demand.pending.until <= now:
                effects += self._time_out(workspace, demand, demand.pending, now)
            elif demand.waiting and demand.pending is None and demand.retry_at <= now:
                effects += self._request_tokens(workspace, demand, now)
        return effects

    def _time_out(
        self, workspace: str, demand: _Demand, pending: _PendingRequest, now: float
    ) -> list[TokenRequesterEffect]:
        self._workspace_by_request.pop(pending.request_id, None)
        demand.pending = None
        demand.blocked_by_region[pending.region] = _BlockedRegion(
            until=now + UNANSWERED_RETRY_S, is_over_quota=False
        )
        return self._request_tokens(workspace, demand, now)

    def _request_tokens(
        self, workspace: str, demand: _Demand, now: float
    ) -> list[TokenRequesterEffect]:
        """Request the needed tokens from the next holder.

        If no holder is left, requests that cannot wait any longer are refused.
        """
        effects: list[TokenRequesterEffect] = []
        while demand.waiting and demand.pending is None:
            region = self._next_region(demand, now)
            if region is None:
                return [*effects, *self._refuse_waiting(workspace, demand, now)]
            holder = self._holder(shard_of(workspace), region, now)
            if holder is None:
                demand.blocked_by_region[region] = _BlockedRegion(
                    until=now + UNANSWERED_RETRY_S, is_over_quota=False
                )
            elif holder.name == self.vm:
                effects += self._take_local(workspace, demand, now)
            else:
                effects.append(self._send(workspace, demand, region, holder, now))
        return effects

    def _next_region(self, demand: _Demand, now: float) -> str | None:
        available_regions = [
            region
            for region in {self.region, *self.holder_map.regions()}
            if region not in demand.blocked_by_region
            or demand.blocked_by_region[region].until <= now
        ]
        if self.region in available_regions:
            return self.region
        return (
            self.random.choice(sorted(available_regions)) if available_regions else None
        )

    def _holder(self, shard: int, region: str, now: float) -> QuotaVm | None:
        """Return the holder to ask.

        In the local region that is the one which has this VM's share, if known: VMs may
        disagree about the holder map.
        """
        if region == self.region:
            known = self.holder_map.find_vm(self.lessor.holder_of(shard, now))
            if known is not None:
                return known
        return self.holder_map.holder(shard, region)

    def _take_local(
        self, workspace: str, demand: _Demand, now: float
    ) -> list[TokenRequesterEffect]:
        requested = len(demand.waiting)
        taken = self.holder.take_tokens(workspace, requested, now)
        if taken.count < requested:
            demand.blocked_by_region[self.region] = _BlockedRegion(
                until=now + taken.retry_after_s, is_over_quota=taken.has_share
            )
        return self._assign_tokens(workspace, demand, taken.count, now)

    def _send(
        self,
        workspace: str,
        demand: _Demand,
        region: str,
        holder: QuotaVm,
        now: float,
    ) -> SendToPeer:
        is_local = region == self.region
        demand.pending = _PendingRequest(
            request_id=self.random.getrandbits(63),
            region=region,
            count=len(demand.waiting),
            until=now
            + (LOCAL_ANSWER_TIMEOUT_S if is_local else REMOTE_ANSWER_TIMEOUT_S),
        )
        self._workspace_by_request[demand.pending.request_id] = workspace
        limit = None if self.limit_of is None else self.limit_of(workspace)
        request = TokenRequest(
            sender=self.vm,
            request_id=demand.pending.request_id,
            workspace=workspace,
            count=demand.pending.count,
            limit_per_s=NO_UPSTREAM_LIMIT if limit is None else limit.rate_per_s,
            heard_ago_ms=0 if limit is None else int(1000 * (now - limit.announced_at)),
        )
        return SendToPeer(message=request, to=holder.endpoint)

    def _assign_tokens(
        self, workspace: str, demand: _Demand, count: int, now: float
    ) -> list[TokenRequesterEffect]:
        admitted, demand.waiting = demand.waiting[:count], demand.waiting[count:]
        self.admitted_by_workspace[workspace] += len(admitted)
        demand.spare_tokens_until += [now + SPARE_TOKEN_LIFETIME_S] * (
            count - len(admitted)
        )
        return [TokenTaken(ticket=each.ticket) for each in admitted]

    def _time_to_first_leases_s(self, now: float) -> float:
        """Return the time until a starting fleet has leased its shares, in seconds."""
        return self.lessor.owns_from + FIRST_CLAIM_PERIOD_S - now

    def _refuse_waiting(
        self, workspace: str, demand: _Demand, now: float
    ) -> list[TokenRequesterEffect]:
        blocked_regions = demand.blocked_by_region.values()
        next_open = min(blocked_regions, key=lambda each: each.until)
        is_over_quota = all(each.is_over_quota for each in blocked_regions)
        refused = demand.waiting
        if not is_over_quota:
            demand.retry_at = next_open.until
            refused = [each for each in refused if each.until < next_open.until]
        refused_tickets = {each.ticket for each in refused}
        demand.waiting = [
            each for each in demand.waiting if each.ticket not in refused_tickets
        ]
        self.refused_by_workspace[workspace] += len(refused)
        return [
            TokenRefused(
                ticket=each.ticket,
                retry_after_s=max(
                    0.0, next_open.until - now, self._time_to_first_leases_s(now)
                ),
                is_over_quota=is_over_quota,
            )
            for each in refused
        ]
