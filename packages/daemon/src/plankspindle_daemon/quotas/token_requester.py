"""Getting of tokens for the requests that come to this VM."""

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
"""Longest wait for a holder of the own region, and of another one."""
UNANSWERED_RETRY_S = 1.0
"""Time for which a region whose holder did not answer is not asked again."""
MAX_TOKEN_WAIT_S = 0.4
"""Longest wait for a holder that has no shares yet, as after a start."""
SPARE_TOKEN_LIFETIME_S = 0.5
"""Life of a token whose request was not sent to an upstream.

It is short, since a token that is used late counts in a later window.
"""

TokenRequesterEffect = TokenTaken | TokenRefused | SendToPeer


@frozen(kw_only=True)
class _Ask:
    request_id: int
    region: str
    count: int
    until: float


@frozen(kw_only=True)
class _Closed:
    """A region gives no tokens for a while."""

    until: float
    is_over_quota: bool


@frozen(kw_only=True)
class _Waiting:
    ticket: int
    until: float


@define(kw_only=True)
class _Demand:
    """Requests of one workspace that want tokens."""

    waiting: list[_Waiting] = Factory(list)
    ask_at: float = 0.0
    ask: _Ask | None = None
    closed_by_region: dict[str, _Closed] = Factory(dict)
    spare_until: list[float] = Factory(list)


@define(kw_only=True)
class TokenRequester:
    """Ask holders for tokens, that of the own region first.

    Parameters
    ----------
    vm, region : str
        This VM and where it stands.
    random : Random
        Source of request ids and of the order of other regions.
    holder : QuotaHolder or LimitHolder
        What this VM hands out itself.
    lessor : ShareLessor
        What knows the holder that has the own share.
    holder_map : HolderMap
        Holders elsewhere.
    limit_of : callable, optional
        Gives the limit of an upstream's life, where tokens are for upstreams.

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
        """Get a token for a request."""
        demand = self._demand_by_workspace.setdefault(workspace, _Demand())
        while demand.spare_until:
            if demand.spare_until.pop() > now:
                self.admitted_by_workspace[workspace] += 1
                return [TokenTaken(ticket=ticket)]
        demand.waiting.append(_Waiting(ticket=ticket, until=now + MAX_TOKEN_WAIT_S))
        return self._ask(workspace, demand, now)

    def remove_all_except(self, workspaces: Container[str]) -> None:
        """Forget workspaces that are not among the limited ones any more."""
        for name, demand in list(self._demand_by_workspace.items()):
            if name not in workspaces and not demand.waiting:
                del self._demand_by_workspace[name]
                del self.admitted_by_workspace[name]
                del self.refused_by_workspace[name]

    def cancel(self, ticket: int, workspace: str) -> None:
        """Forget a request that no longer waits."""
        demand = self._demand_by_workspace.get(workspace)
        if demand is not None:
            demand.waiting = [each for each in demand.waiting if each.ticket != ticket]

    def return_token(self, workspace: str, now: float) -> None:
        """Take back the token of a request that was sent to no upstream."""
        demand = self._demand_by_workspace.get(workspace)
        if demand is not None:
            demand.spare_until.append(now + SPARE_TOKEN_LIFETIME_S)

    def handle_grant(self, grant: TokenGrant, now: float) -> list[TokenRequesterEffect]:
        """Take what a holder answered; nothing if it comes too late."""
        workspace = self._workspace_by_request.pop(grant.request_id, None)
        demand = self._demand_by_workspace.get(workspace or "")
        if workspace is None or demand is None or demand.ask is None:
            return []
        if demand.ask.request_id != grant.request_id:
            return []
        ask, demand.ask = demand.ask, None
        count = min(grant.count, ask.count)
        effects = self._share_out(workspace, demand, count, now)
        if count < ask.count:
            demand.closed_by_region[ask.region] = _Closed(
                until=now + grant.retry_after_ms / 1000,
                is_over_quota=grant.has_share,
            )
        return [*effects, *self._ask(workspace, demand, now)]

    def tick(self, now: float) -> list[TokenRequesterEffect]:
        """Give up holders that have not answered in time, and ask again."""
        effects: list[TokenRequesterEffect] = []
        for workspace, demand in self._demand_by_workspace.items():
            if demand.ask is not None and demand.ask.until <= now:
                effects += self._give_up(workspace, demand, demand.ask, now)
            elif demand.waiting and demand.ask is None and demand.ask_at <= now:
                effects += self._ask(workspace, demand, now)
        return effects

    def _give_up(
        self, workspace: str, demand: _Demand, ask: _Ask, now: float
    ) -> list[TokenRequesterEffect]:
        self._workspace_by_request.pop(ask.request_id, None)
        demand.ask = None
        demand.closed_by_region[ask.region] = _Closed(
            until=now + UNANSWERED_RETRY_S, is_over_quota=False
        )
        return self._ask(workspace, demand, now)

    def _ask(
        self, workspace: str, demand: _Demand, now: float
    ) -> list[TokenRequesterEffect]:
        """Ask the next holder for what is wanted.

        If none is left, what may wait no longer is refused.
        """
        effects: list[TokenRequesterEffect] = []
        while demand.waiting and demand.ask is None:
            region = self._next_region(demand, now)
            if region is None:
                return [*effects, *self._refuse(workspace, demand, now)]
            holder = self._holder(shard_of(workspace), region, now)
            if holder is None:
                demand.closed_by_region[region] = _Closed(
                    until=now + UNANSWERED_RETRY_S, is_over_quota=False
                )
            elif holder.name == self.vm:
                effects += self._take_own(workspace, demand, now)
            else:
                effects.append(self._send(workspace, demand, region, holder, now))
        return effects

    def _next_region(self, demand: _Demand, now: float) -> str | None:
        open_regions = [
            region
            for region in {self.region, *self.holder_map.regions()}
            if region not in demand.closed_by_region
            or demand.closed_by_region[region].until <= now
        ]
        if self.region in open_regions:
            return self.region
        return self.random.choice(sorted(open_regions)) if open_regions else None

    def _holder(self, shard: int, region: str, now: float) -> QuotaVm | None:
        """Give whom to ask; in the own region who has the own share knows best."""
        if region == self.region:
            known = self.holder_map.find_vm(self.lessor.holder_of(shard, now))
            if known is not None:
                return known
        return self.holder_map.holder(shard, region)

    def _take_own(
        self, workspace: str, demand: _Demand, now: float
    ) -> list[TokenRequesterEffect]:
        wanted = len(demand.waiting)
        taken = self.holder.take_tokens(workspace, wanted, now)
        if taken.count < wanted:
            demand.closed_by_region[self.region] = _Closed(
                until=now + taken.retry_after_s, is_over_quota=taken.has_share
            )
        return self._share_out(workspace, demand, taken.count, now)

    def _send(
        self,
        workspace: str,
        demand: _Demand,
        region: str,
        holder: QuotaVm,
        now: float,
    ) -> SendToPeer:
        near = region == self.region
        demand.ask = _Ask(
            request_id=self.random.getrandbits(63),
            region=region,
            count=len(demand.waiting),
            until=now + (LOCAL_ANSWER_TIMEOUT_S if near else REMOTE_ANSWER_TIMEOUT_S),
        )
        self._workspace_by_request[demand.ask.request_id] = workspace
        limit = None if self.limit_of is None else self.limit_of(workspace)
        request = TokenRequest(
            sender=self.vm,
            request_id=demand.ask.request_id,
            workspace=workspace,
            count=demand.ask.count,
            limit_per_s=NO_UPSTREAM_LIMIT if limit is None else limit.rate_per_s,
            heard_ago_ms=0 if limit is None else int(1000 * (now - limit.announced_at)),
        )
        return SendToPeer(message=request, to=holder.endpoint)

    def _share_out(
        self, workspace: str, demand: _Demand, count: int, now: float
    ) -> list[TokenRequesterEffect]:
        served, demand.waiting = demand.waiting[:count], demand.waiting[count:]
        self.admitted_by_workspace[workspace] += len(served)
        demand.spare_until += [now + SPARE_TOKEN_LIFETIME_S] * (count - len(served))
        return [TokenTaken(ticket=each.ticket) for each in served]

    def _begins_in_s(self, now: float) -> float:
        """Give the time until the shares of a fleet that starts are leased."""
        return self.lessor.owns_from + FIRST_CLAIM_PERIOD_S - now

    def _refuse(
        self, workspace: str, demand: _Demand, now: float
    ) -> list[TokenRequesterEffect]:
        closed = demand.closed_by_region.values()
        first = min(closed, key=lambda each: each.until)
        is_over_quota = all(each.is_over_quota for each in closed)
        refused = demand.waiting
        if not is_over_quota:
            demand.ask_at = first.until
            refused = [each for each in refused if each.until < first.until]
        gone = {each.ticket for each in refused}
        demand.waiting = [each for each in demand.waiting if each.ticket not in gone]
        self.refused_by_workspace[workspace] += len(refused)
        return [
            TokenRefused(
                ticket=each.ticket,
                retry_after_s=max(0.0, first.until - now, self._begins_in_s(now)),
                is_over_quota=is_over_quota,
            )
            for each in refused
        ]
