"""State machine of the entry VMs of one failure domain.

The platform's list lags, and heartbeats are lost during network partitions. A member
therefore counts as soon as the list or a heartbeat names it, and stops counting only
when it announced that it left, or when it is silent *and* a list read after that no
longer names it.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import field

from plankspindle_core.classes import define
from plankspindle_daemon.membership.failure_detector import WATCHER_HEARTBEAT_S
from plankspindle_daemon.membership.failure_detector import FailureDetector
from plankspindle_daemon.membership.member import Member
from plankspindle_daemon.membership.member_view import MemberView
from plankspindle_daemon.membership.membership_options import MembershipOptions
from plankspindle_daemon.membership.messages import HeartbeatReceived
from plankspindle_daemon.membership.messages import LeaveRequested
from plankspindle_daemon.membership.messages import LiveListRead
from plankspindle_daemon.membership.messages import MembershipEffect
from plankspindle_daemon.membership.messages import MembershipEvent
from plankspindle_daemon.membership.messages import ProcessPaused
from plankspindle_daemon.membership.messages import SendHeartbeat
from plankspindle_daemon.membership.messages import SuspicionReceived
from plankspindle_daemon.membership.messages import TimePassed
from plankspindle_daemon.membership.messages import ViewChanged
from plankspindle_daemon.peer_messages.heartbeat import ALL_UPSTREAMS
from plankspindle_daemon.peer_messages.peer_message import SendToPeer
from plankspindle_daemon.peer_messages.readiness import Readiness
from plankspindle_daemon.platform.live_list import ListedVm
from plankspindle_daemon.platform.live_list import VmKind

if TYPE_CHECKING:
    from plankspindle_core.endpoint import Endpoint
    from plankspindle_daemon.peer_messages.heartbeat import Heartbeat

HEARTBEAT_BYTES = 200
"""Upper estimate of one heartbeat on the wire, IP and UDP headers included."""
MAX_FIRST_HEARTBEAT_WAIT_S = 10.0
"""Longest wait for a listed member that has sent no heartbeat yet, in seconds.

It may be suspended and still use slots, so a new process waits as long as its requests
can run. If requests run for minutes it does not wait that long: upstreams shed what
exceeds their slots, while a failure domain without slots serves nobody.
"""
MIN_ROUND_INTERVAL_S = 1.0
"""Minimum time between two rounds of heartbeats to all members, in seconds."""
HEARTBEAT_BYTES_PER_S = 5_000
"""Budget for heartbeats, out of a node's 14 KB/s of control traffic."""
WATCHED_HEARTBEAT_BYTES_PER_S = 2_000
"""Budget for heartbeat rounds where members have watchers.

Changes are sent at once then, and rounds only repair lost messages: ten heartbeats a
second instead of 25, each of which takes 0.3 ms of its receiver.
"""


@define(kw_only=True)
class Membership:
    """Members of the failure domain, as counted by this VM.

    Parameters
    ----------
    options : MembershipOptions
        Settings of the membership.

    Attributes
    ----------
    members_by_name : dict of str to Member
        The other members that count.
    removed_at_by_name : dict of str to float
        When members that did not announce that they left stopped counting, monotonic
        seconds.
    listed_by_name : dict of str to ListedVm
        The newest list of the platform, of all failure domains and kinds.
    change_count : int
        Number of changes that may affect lookups: of members, their reported state,
        suspicions, and the list.
    """

    options: MembershipOptions
    members_by_name: dict[str, Member] = Factory(dict)
    removed_at_by_name: dict[str, float] = Factory(dict)
    listed_by_name: dict[str, ListedVm] = Factory(dict)
    detector: FailureDetector = field(init=False)
    _next_heartbeat: float = 0.0
    _last_round: float = -math.inf
    _has_been_listed: bool = False
    _leave_requested: bool = False
    _view: MemberView | None = None
    change_count: int = 0
    _view_changes: int = 0

    def __attrs_post_init__(self) -> None:
        self.detector = FailureDetector(
            vm=self.options.vm,
            failure_domain=self.options.failure_domain,
            members_by_name=self.members_by_name,
        )

    def handle(self, event: MembershipEvent, now: float) -> list[MembershipEffect]:
        """Apply an event, and return the effects that the caller must carry out.

        ``now`` is in monotonic seconds.
        """
        before = self._view_changes
        effects: list[MembershipEffect] = []
        match event:
            case HeartbeatReceived(heartbeat=heartbeat):
                self._apply_heartbeat(heartbeat, now)
            case LiveListRead(vms=vms):
                effects += self._apply_list(vms, now)
            case TimePassed():
                effects += self._due_heartbeats(now)
                effects += self._watcher_effects(now)
            case ProcessPaused():
                self._reset_silence(now)
                self.schedule_heartbeat_round(now)
            case SuspicionReceived(suspicion=suspicion):
                self.change_count += 1
                if self.detector.apply_suspicion(
                    suspicion, self.options.incarnation, now
                ):
                    self.schedule_heartbeat_round(now)
        if self._view_changes != before:
            effects.append(ViewChanged())
        return effects

    def member_names(self) -> tuple[str, ...]:
        """Return the names of all members that count, this VM included, sorted."""
        return self._current_view().names

    def view_digest(self) -> int:
        """Return the digest of the members and their incarnations, 64 bits."""
        return self._current_view().digest

    def _current_view(self) -> MemberView:
        if self._view is None:
            others = self.members_by_name.values()
            identities = [(each.name, each.incarnation) for each in others]
            own = (self.options.vm, self.options.incarnation)
            self._view = MemberView.from_identities(sorted([own, *identities]))
        return self._view

    def _invalidate_view(self) -> None:
        self._view = None
        self._view_changes += 1
        self.change_count += 1

    def heartbeat_period_s(self) -> float:
        """Return the heartbeat period for each peer, stretched to the byte budget."""
        round_bytes = len(self.members_by_name) * HEARTBEAT_BYTES
        budgeted = round_bytes / HEARTBEAT_BYTES_PER_S
        if budgeted > WATCHER_HEARTBEAT_S:
            return round_bytes / WATCHED_HEARTBEAT_BYTES_PER_S
        return max(self.options.heartbeat_s, budgeted)

    def suspect_after_s(self) -> float:
        """Return the silence after which a peer is suspected, in seconds."""
        factor = self.heartbeat_period_s() / self.options.heartbeat_s
        return self.options.suspect_after_s * factor

    def may_grow_share(
        self, upstream: str, *, now: float, max_request_s: float
    ) -> bool:
        """Return whether no other member can still use slots beyond its present share.

        Parameters
        ----------
        upstream : str
            Upstream whose share is to grow.
        now : float
            Monotonic time in seconds.
        max_request_s : float
            Longest timeout of a request at this upstream, in seconds.

        Returns
        -------
        bool
            True if every member has the same view and is within its share, or can have
            no more requests running, and removed members can have none running either.
        """
        removals = self.removed_at_by_name.values()
        if any(now - at < max_request_s for at in removals):
            return False
        digest = self.view_digest()
        return all(
            self._permits_growth(member, upstream, digest, now, max_request_s)
            for member in self.members_by_name.values()
        )

    def _permits_growth(
        self,
        member: Member,
        upstream: str,
        digest: int,
        now: float,
        max_request_s: float,
    ) -> bool:
        if member.last_heartbeat_at is None:
            wait_s = max(
                self.suspect_after_s(), min(max_request_s, MAX_FIRST_HEARTBEAT_WAIT_S)
            )
            return now - member.known_since > wait_s
        if member.is_silent(now=now, suspect_after_s=self.suspect_after_s()):
            return now - member.last_heartbeat_at > max_request_s
        over = {upstream, ALL_UPSTREAMS} & member.over_share
        return member.view_digest == digest and not over

    def _apply_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        own = self.options
        if heartbeat.sender == own.vm or not self._covers(heartbeat.failure_domain):
            return
        member = self.members_by_name.get(heartbeat.sender)
        if member is None:
            if heartbeat.readiness is Readiness.LEFT:
                return
            member = Member(
                name=heartbeat.sender,
                peer_endpoint=heartbeat.peer_endpoint,
                known_since=now,
            )
            self.members_by_name[member.name] = member
            self._invalidate_view()
        if member.is_outdated(heartbeat):
            return
        if member.incarnation != heartbeat.incarnation:
            self._invalidate_view()
        if member.incarnation not in (heartbeat.incarnation, 0):
            self.removed_at_by_name[f"{member.name}#{member.incarnation}"] = now
        self.change_count += member.affects_lookups(heartbeat)
        member.apply_heartbeat(heartbeat, now)
        self.detector.record_heartbeat(member, is_watched=heartbeat.is_watched)
        if heartbeat.readiness is Readiness.LEFT:
            del self.members_by_name[member.name]
            self.detector.remove(member.name)
            self._invalidate_view()

    def _apply_list(
        self, vms: tuple[ListedVm, ...], now: float
    ) -> list[MembershipEffect]:
        self.change_count += 1
        self.listed_by_name = {each.name: each for each in vms}
        for listed in vms:
            self._add_listed(listed, now)
        self._remove_unlisted(now)
        self._postpone_round()
        return self._leave_requests()

    def _add_listed(self, listed: ListedVm, now: float) -> None:
        own = self.options
        is_peer = (
            listed.kind is VmKind.ENTRY
            and self._covers(listed.failure_domain)
            and listed.name != own.vm
            and listed.peer_endpoint is not None
        )
        if not is_peer or listed.peer_endpoint is None:
            return
        member = self.members_by_name.get(listed.name)
        if member is None and not listed.leaving:
            member = Member(
                name=listed.name,
                peer_endpoint=listed.peer_endpoint,
                caller_endpoint=listed.caller_endpoint,
                failure_domain=listed.failure_domain,
                known_since=now,
            )
            self.members_by_name[member.name] = member
            self._invalidate_view()
        if member is not None:
            member.listed_leaving = listed.leaving

    def _covers(self, failure_domain: str) -> bool:
        own = self.options
        return own.all_domains or failure_domain == own.failure_domain

    def is_silent(self, member: Member, now: float) -> bool:
        """Return whether a member is silent here or suspected by its watchers."""
        return member.is_suspected(now=now, suspect_after_s=self.suspect_after_s())

    def _remove_unlisted(self, now: float) -> None:
        silence_s = self.suspect_after_s()
        for name, member in list(self.members_by_name.items()):
            listed = name in self.listed_by_name
            if listed or not member.is_suspected(now=now, suspect_after_s=silence_s):
                continue
            del self.members_by_name[name]
            self._invalidate_view()
            self.removed_at_by_name[f"{name}#{member.incarnation}"] = now

    def _leave_requests(self) -> list[MembershipEffect]:
        listed = self.listed_by_name.get(self.options.vm)
        if listed is not None and not listed.leaving:
            self._has_been_listed = True
            return []
        if self._leave_requested or (listed is None and not self._has_been_listed):
            return []
        self._leave_requested = True
        reason = "listed as leaving" if listed else "no longer listed"
        return [LeaveRequested(reason)]

    def _due_heartbeats(self, now: float) -> list[MembershipEffect]:
        if now < self._next_heartbeat:
            return []
        self._next_heartbeat = now + self.heartbeat_period_s()
        self._last_round = now
        return [SendHeartbeat(endpoint) for endpoint in self.peer_endpoints()]

    def _postpone_round(self) -> None:
        """Postpone the first round to a large fleet until this VM may be ready.

        A process that starts knows few peers, learns of all others from the list, and
        is ready soon after that: one round reports both. If all of 195 VMs start, one
        round of each is 38,000 messages.
        """
        if self.heartbeat_period_s() > WATCHER_HEARTBEAT_S:
            self._next_heartbeat = max(
                self._next_heartbeat, self._last_round + MIN_ROUND_INTERVAL_S
            )

    def schedule_heartbeat_round(self, now: float) -> None:
        """Schedule a round of heartbeats to all members soon, to report a change.

        Otherwise members learn of it at the next round, which is rare in a large fleet.
        """
        self._next_heartbeat = min(
            self._next_heartbeat, max(now, self._last_round + MIN_ROUND_INTERVAL_S)
        )

    def is_watched_by(self, endpoint: Endpoint) -> bool:
        """Return whether the member at an endpoint is a watcher of this VM."""
        members = self.members_by_name
        return any(
            name in members and members[name].peer_endpoint == endpoint
            for name in self.detector.watchers()
        )

    def _watcher_effects(self, now: float) -> list[MembershipEffect]:
        """Return heartbeats to watchers, and suspicions of watched members."""
        if not self.detector.is_heartbeat_due(now):
            return []
        alive: list[Member] = []
        if self.heartbeat_period_s() > WATCHER_HEARTBEAT_S:
            silence_s = self.suspect_after_s()
            alive = [
                member
                for member in self.members_by_name.values()
                if not member.is_suspected(now=now, suspect_after_s=silence_s)
            ]
        names = self.detector.choose_watchers(alive, now)
        known = (self.members_by_name.get(name) for name in names)
        suspicions = self.detector.due_suspicions(now)
        self.change_count += len(suspicions)
        return [
            *(SendHeartbeat(each.peer_endpoint) for each in known if each is not None),
            *(
                SendToPeer(message=suspicion, to=endpoint)
                for suspicion in suspicions
                for endpoint in self.peer_endpoints()
            ),
        ]

    def peer_endpoints(self) -> list[Endpoint]:
        """Return the destinations of heartbeats: the members, and always the seeds.

        Two members that know each other only through a third would otherwise lose
        contact when the third becomes silent while the list cannot be read.
        """
        known = {each.peer_endpoint for each in self.members_by_name.values()}
        return sorted(known | set(self.options.seeds))

    def caller_endpoint_of(self, vm: str) -> Endpoint | None:
        """Return the caller listener that an entry VM reported, or the listed one."""
        member = self.members_by_name.get(vm)
        if member is not None and member.caller_endpoint is not None:
            return member.caller_endpoint
        listed = self.listed_by_name.get(vm)
        return listed.caller_endpoint if listed is not None else None

    def _reset_silence(self, now: float) -> None:
        """Restart measuring the silence of members, since this process was paused."""
        for member in self.members_by_name.values():
            if member.last_heartbeat_at is not None:
                member.last_heartbeat_at = now
            member.view_digest = 0

    def expire_removals(self, *, before: float) -> None:
        """Discard removals older than a time in monotonic seconds."""
        self.removed_at_by_name = {
            name: at for name, at in self.removed_at_by_name.items() if at >= before
        }
