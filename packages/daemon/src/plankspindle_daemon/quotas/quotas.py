"""Enforcement of quotas and limits over all entry VMs, as seen by one of them."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import field

from plankspindle_core.classes import define
from plankspindle_core.configuration.configuration import Configuration
from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.membership.membership import Membership
from plankspindle_daemon.peer_messages.limit_news import LimitNews
from plankspindle_daemon.peer_messages.limit_question import LimitQuestion
from plankspindle_daemon.peer_messages.peer_message import SendToPeer
from plankspindle_daemon.peer_messages.quota_messages import ShareClaim
from plankspindle_daemon.peer_messages.quota_messages import ShareLease
from plankspindle_daemon.peer_messages.quota_messages import TokenGrant
from plankspindle_daemon.peer_messages.quota_messages import TokenRequest
from plankspindle_daemon.peer_messages.readiness import Readiness
from plankspindle_daemon.platform.live_list import VmKind
from plankspindle_daemon.quotas.fleet_size import FleetSize
from plankspindle_daemon.quotas.holder_map import HolderMap
from plankspindle_daemon.quotas.holder_map import QuotaVm
from plankspindle_daemon.quotas.limit_holder import LimitHolder
from plankspindle_daemon.quotas.messages import TokenRefused
from plankspindle_daemon.quotas.messages import TokenTaken
from plankspindle_daemon.quotas.quota_holder import QuotaHolder
from plankspindle_daemon.quotas.quota_options import CLAIM_PERIOD_S
from plankspindle_daemon.quotas.quota_options import FIRST_CLAIM_PERIOD_S
from plankspindle_daemon.quotas.quota_options import LEASE_S
from plankspindle_daemon.quotas.quota_options import QuotaOptions
from plankspindle_daemon.quotas.share_lessor import ShareLessor
from plankspindle_daemon.quotas.token_requester import TokenRequester
from plankspindle_daemon.quotas.upstream_limits import LimitEffect
from plankspindle_daemon.quotas.upstream_limits import UpstreamLimits

if TYPE_CHECKING:
    from plankspindle_daemon.quotas.token_requester import TokenRequesterEffect

REFRESH_S = 1.0
"""Maximum time between updates of the VMs that may hold shares, in seconds."""
_HOLDER_READINESS = (Readiness.READY, Readiness.OVERLOADED)

QuotaMessage = (
    ShareClaim | ShareLease | TokenRequest | TokenGrant | LimitNews | LimitQuestion
)
QuotaEffect = TokenTaken | TokenRefused | LimitEffect


@define(kw_only=True)
class Quotas:
    """Admit requests of limited workspaces, and to limited upstreams, by tokens.

    Parameters
    ----------
    vm, failure_domain : str
        This VM and its failure domain.
    endpoint : Endpoint
        Where other VMs reach it.
    incarnation : int
        Incarnation of this process.
    started_at : float
        When the node was created, monotonic seconds.
    random : Random
        Seeded source of all random choices.
    membership : Membership
        Other entry VMs.
    options : QuotaOptions
        Options of the quotas.

    Notes
    -----
    Every VM owns an equal share of each quota and leases it, shard by shard, to one
    holder of its region. A holder grants tokens from the shares that are leased to it,
    and a request needs a token before it is sent to an upstream. The sum over all
    holders never exceeds the quota, since each share is leased to one holder at a time.
    """

    vm: str
    failure_domain: str
    endpoint: Endpoint
    incarnation: int
    started_at: float
    random: Random
    membership: Membership
    options: QuotaOptions
    fleet: FleetSize = Factory(FleetSize)
    holders: HolderMap = Factory(HolderMap)
    lessor: ShareLessor = field(init=False)
    holder: QuotaHolder = field(init=False)
    token_requester: TokenRequester = field(init=False)
    limits: UpstreamLimits = field(init=False)
    _configuration: Configuration | None = None
    _has_quotas: bool = False
    _may_hold: bool = False
    _has_list: bool = False
    _refreshed_for: tuple[int, bool] = (0, False)
    _claimed_shards: tuple[int, ...] = ()
    _next_claim: float = 0.0
    _next_refresh: float = 0.0

    def __attrs_post_init__(self) -> None:
        began_at = self.options.process_started_at or self.started_at
        self.lessor = ShareLessor(vm=self.vm, owns_from=began_at + LEASE_S)
        self.holder = QuotaHolder(
            vm=self.vm, incarnation=self.incarnation, options=self.options
        )
        self.token_requester = TokenRequester(
            vm=self.vm,
            random=self.random,
            holder=self.holder,
            lessor=self.lessor,
            holder_map=self.holders,
        )
        self.limits = self._make_limits()

    def update_configuration(self, configuration: Configuration) -> None:
        """Apply the quotas of another version of the configuration."""
        workspaces = configuration.workspaces_by_name
        self._configuration = configuration
        self._has_quotas = any(each.is_limited for each in workspaces.values())
        region = configuration.region_of(self.failure_domain) or ""
        self.token_requester.region = self.limits.token_requester.region = region
        self.holder.update_quotas(workspaces)
        self.token_requester.remove_all_except(
            {name for name, each in workspaces.items() if each.is_limited}
        )
        self._next_refresh = 0.0

    def request_token(
        self, ticket: int, workspace: str, now: float
    ) -> list[TokenRequesterEffect]:
        """Request a token for a request of a workspace."""
        quota = None
        if self._configuration is not None:
            quota = self._configuration.workspaces_by_name.get(workspace)
        if quota is None or not quota.is_limited:
            return [TokenTaken(ticket=ticket)]
        return self.token_requester.request_token(ticket, workspace, now)

    def request_upstream_token(
        self, incarnation_id: str, service: str, now: float
    ) -> list[LimitEffect]:
        """Request a token for a request to an upstream that announces a limit."""
        if now >= self._next_refresh:
            self._refresh(now)
        return self.limits.request_token(incarnation_id, service, now)

    def receive(
        self, message: QuotaMessage, reply_to: Endpoint, now: float
    ) -> list[QuotaEffect]:
        """Handle a message of another entry VM."""
        match message:
            case ShareClaim():
                lease = self._lease(message, now)
                return [] if lease is None else [SendToPeer(message=lease, to=reply_to)]
            case ShareLease():
                self.fleet.record(message.fleet_size, now)
                self.holder.add_lease(message, now)
                return []
            case TokenRequest():
                holder = self.limits.holder if message.is_of_limit else self.holder
                grant = holder.answer(message, now)
                return [SendToPeer(message=grant, to=reply_to)]
            case TokenGrant(is_of_limit=True):
                return [*self.limits.handle_grant(message, now)]
            case TokenGrant():
                return [*self.token_requester.handle_grant(message, now)]
            case LimitNews():
                self.limits.handle_update(message, now)
                return []
            case LimitQuestion():
                limiter = self.limits.limiter_by_incarnation.get(message.life)
                answer = self.limits.questions.answer
                return [*answer(message, limiter, reply_to, now)]

    def tick(
        self, *, readiness: Readiness, has_list: bool, now: float
    ) -> list[QuotaEffect]:
        """Handle timeouts, renew claims and resend updates.

        Parameters
        ----------
        readiness : Readiness
            Readiness of this VM, which holds shares only while it serves and is not
            leaving.
        has_list : bool
            Whether the list of VMs was read; without it the share of a VM is unknown.
        now : float
            Monotonic seconds.
        """
        self._may_hold = readiness in _HOLDER_READINESS
        self._has_list = has_list
        questions = self.limits.questions.ask(self.limits.limiter_by_incarnation, now)
        if not (self._has_quotas or self.limits.is_needed):
            return [*questions]
        effects = [*questions, *self.token_requester.tick(now), *self.limits.tick(now)]
        current = (self.membership.change_count, self._may_hold)
        if now >= self._next_refresh or current != self._refreshed_for:
            self._refresh(now)
        return [*effects, *self._claim(now)]

    def _make_limits(self) -> UpstreamLimits:
        holder = LimitHolder(holder=self.holder)
        limits = UpstreamLimits(
            vm=self.vm,
            failure_domain=self.failure_domain,
            membership=self.membership,
            holder=holder,
            token_requester=TokenRequester(
                vm=self.vm,
                random=self.random,
                holder=holder,
                lessor=self.lessor,
                holder_map=self.holders,
            ),
        )
        limits.token_requester.limit_of = limits.limit_of
        return limits

    def _refresh(self, now: float) -> None:
        """Update the number of VMs, and which of them may hold shares."""
        if self._configuration is None:
            return
        self._next_refresh = now + REFRESH_S
        self._refreshed_for = (self.membership.change_count, self._may_hold)
        if self._has_list:
            self.fleet.record(self._count_vms(), now)
        self._update_holders(may_hold=self._may_hold, now=now)

    def _lease(self, claim: ShareClaim, now: float) -> ShareLease | None:
        self.fleet.record(claim.fleet_size, now)
        return self.lessor.answer(claim, fleet_size=self.fleet.at(now), now=now)

    def _claim(self, now: float) -> list[SendToPeer]:
        """Claim the shares of the region for the shards that are held here."""
        region = self.token_requester.region
        shards = self.holders.shards_of(self.vm, region)
        is_due = shards != self._claimed_shards or now >= self._next_claim
        self._claimed_shards = shards
        if not shards or not is_due:
            return []
        vms = self.holders.vms_in(region)
        is_complete = self.holder.has_all_leases(shards, vms=len(vms), now=now)
        self._next_claim = now + (
            CLAIM_PERIOD_S if is_complete else FIRST_CLAIM_PERIOD_S
        )
        claim = self.holder.claim(shards, fleet_size=self.fleet.at(now), now=now)
        own = self._lease(claim, now)
        if own is not None:
            self.holder.add_lease(own, now)
        return [
            SendToPeer(message=claim, to=vm.endpoint)
            for vm in vms
            if vm.name != self.vm
        ]

    def _count_vms(self) -> int:
        listed = {
            each.name
            for each in self.membership.listed_by_name.values()
            if each.kind is VmKind.ENTRY
        }
        return len(listed | {self.vm, *self.membership.members_by_name})

    def _update_holders(self, *, may_hold: bool, now: float) -> None:
        vms = {}
        if may_hold:
            vms[self.vm] = self._quota_vm(self.vm, self.failure_domain, self.endpoint)
        members = self.membership.members_by_name
        for listed in self.membership.listed_by_name.values():
            is_other = listed.kind is VmKind.ENTRY and listed.name not in members
            if is_other and listed.name != self.vm and not listed.leaving:
                endpoint = listed.peer_endpoint
                vms[listed.name] = self._quota_vm(
                    listed.name, listed.failure_domain, endpoint
                )
        for member in members.values():
            if member.readiness in _HOLDER_READINESS and not self.membership.is_silent(
                member, now
            ):
                vms[member.name] = self._quota_vm(
                    member.name, member.failure_domain, member.peer_endpoint
                )
        self.holders.update(each for each in vms.values() if each is not None)

    def _quota_vm(
        self, name: str, failure_domain: str, endpoint: Endpoint | None
    ) -> QuotaVm | None:
        assert self._configuration is not None
        region = self._configuration.region_of(failure_domain)
        if endpoint is None or region is None:
            return None
        return QuotaVm(name=name, region=region, endpoint=endpoint)
