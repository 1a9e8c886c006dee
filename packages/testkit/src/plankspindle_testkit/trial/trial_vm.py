"""One entry VM of a trial: the daemon's node, and its requests."""

from __future__ import annotations

from random import Random

from attrs import define
from attrs import field

from plankspindle_daemon.idempotency.issued_ids import IssuedIds
from plankspindle_daemon.leaving.leave import Leave
from plankspindle_daemon.membership.membership import Membership
from plankspindle_daemon.membership.membership_options import MembershipOptions
from plankspindle_daemon.node.node import Node
from plankspindle_testkit.builders import VmAddresses
from plankspindle_testkit.trial.fake_upstream import FakeUpstream
from plankspindle_testkit.trial.fake_upstream import Run
from plankspindle_testkit.trial.trial_request import TrialRequest

HEARTBEAT_S = 0.5
SUSPECT_AFTER_S = 2.0


@define(kw_only=True)
class TrialVm:
    """A process on an entry VM, which may be paused.

    Parameters
    ----------
    place : VmAddresses
        The VM.
    node : Node
        Decision logic of the process.
    """

    place: VmAddresses
    node: Node
    paused_until: float | None = None
    requests_by_number: dict[int, TrialRequest] = field(factory=dict)
    finished_while_paused: list[tuple[FakeUpstream, Run]] = field(factory=list)

    @classmethod
    def start(
        cls, place: VmAddresses, *, seeds: list[VmAddresses], random: Random, now: float
    ) -> TrialVm:
        """Start a process.

        Parameters
        ----------
        place : VmAddresses
            The VM.
        seeds : list of VmAddresses
            Peers named by its settings.
        random : Random
            Source of its choices.
        now : float
            Seconds.
        """
        incarnation = random.getrandbits(64) or 1
        options = MembershipOptions(
            vm=place.name,
            failure_domain=place.failure_domain,
            incarnation=incarnation,
            heartbeat_s=HEARTBEAT_S,
            suspect_after_s=SUSPECT_AFTER_S,
            seeds=tuple(each.peer for each in seeds if each != place),
        )
        node = Node(
            vm=place.name,
            failure_domain=place.failure_domain,
            caller_endpoint=place.caller,
            peer_endpoint=place.peer,
            incarnation=incarnation,
            random=Random(random.getrandbits(64)),
            membership=Membership(options=options),
            ids=IssuedIds(
                vm=place.name,
                incarnation=incarnation,
                secret=random.randbytes(32),
                ttl_s=60.0,
                retention_s=60.0,
                max_retained=10_000,
            ),
            leave=Leave(leave_s=60.0),
            probe_period_s=1.0,
            started_at=now,
            settle_s=SUSPECT_AFTER_S,
        )
        return cls(place=place, node=node)

    def is_running(self, now: float) -> bool:
        """Return whether the process is not paused."""
        return self.paused_until is None or now >= self.paused_until
