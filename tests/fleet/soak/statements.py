"""Statements of upstreams in a soak, and checks that entry VMs comply with them."""

from __future__ import annotations

from math import inf
from random import Random
from typing import TYPE_CHECKING

from attrs import define
from attrs import frozen
from curio import sleep
from curio import spawn

from plankspindle_core.steady_clock import monotonic
from plankspindle_testkit.lab.statement_record import STATEMENT_DELAY_S
from plankspindle_testkit.lab.statement_record import WINDOW_S
from plankspindle_testkit.lab.statement_record import max_allowed_requests
from plankspindle_testkit.quota_fleet import max_in_window
from soak.checks import Checks
from soak.checks import ObservedRequest
from soak.cuts import Cuts
from soak.process_pauses import ProcessPauses
from soak.upstream import Arrival
from soak.upstream import Upstream
from soak.upstreams import Upstreams

if TYPE_CHECKING:
    from collections.abc import Iterator

    from plankspindle_testkit.soak.soak_fault import SoakFault

MAX_DURING_RETRY_AFTER = 2
MAX_AFFECTED = 3
WHOLE_SERVICE_SHARE = 0.2
"""Share of the faults that affect all upstreams of a service."""
LIMITS_PER_S = (0.0, 0.5, 1.0, 2.0, 4.0)
WHOLE_SERVICE_LIMITS_PER_S = (2.0, 4.0)
"""Limits for a whole service, whose effect ends in time for the final check."""
RETRY_AFTERS_S = (0.3, 1.0, 2.0, 4.0)
MALFORMED_STATEMENTS = (
    (b"server-limit", b""),
    (b"server-limit", b"-3"),
    (b"server-limit", b"nan"),
    (b"server-limit", b"9" * 60),
    (b"server-limit", b"1, 2"),
    (b"server-leaving", b""),
    (b"server-leaving", b"maybe"),
    (b"retry-after", b"-1"),
    (b"retry-after", b"1e9"),
)


@frozen(kw_only=True)
class Sender:
    """One process of an entry VM."""

    vm: str
    incarnation: int


@frozen(kw_only=True)
class ForwardedRequest:
    """A request at an upstream, with the process that forwarded it.

    Parameters
    ----------
    sender : Sender
        The process.
    sent_at : float
        When its caller sent it, monotonic seconds.
    arrival : Arrival
        Where and when it arrived, and the statement in its answer.
    relayed_at : float
        When its caller had the complete answer, monotonic seconds; infinite if the
        caller did not get this answer, as the process had left the upstream before.
    relayed_by : Sender, optional
        Process that relayed it to the sender; it passed the answer on, too.
    is_sender_known : bool
        Whether the sender is known; not if a relay may have failed.
    """

    sender: Sender
    sent_at: float
    arrival: Arrival
    relayed_at: float
    relayed_by: Sender | None = None
    is_sender_known: bool = True


@define(kw_only=True)
class Statements:
    """Make upstreams send statements, and check the requests that they get.

    Parameters
    ----------
    checks : Checks
        Observations, and where violations are recorded.
    upstreams : Upstreams
        The upstreams.
    process_pauses : ProcessPauses
        Pauses of processes; a paused process is excused.
    cuts : Cuts
        VMs that are cut off, and so have requests sent by others.
    seed : int
        Random seed, combined with the time of the fault, so that replays are equal.
    """

    checks: Checks
    upstreams: Upstreams
    process_pauses: ProcessPauses
    cuts: Cuts
    seed: int

    async def inject(self, fault: SoakFault) -> None:
        """Make some upstreams send a statement for a while."""
        random = Random(f"statements of {self.seed} at {fault.at}")
        affected = self._draw(random)
        if fault.kind == "say-leave":
            for number in affected:
                await spawn(self.upstreams.leave_by_header, number, daemon=True)
            return
        upstreams = [self.upstreams.current[number] for number in affected]
        spans = []
        for upstream in upstreams:
            if fault.kind != "misspeak":
                spans.append(self.upstreams.begin_withholding(upstream))
            _begin_statement(
                upstream,
                fault.kind,
                random,
                is_whole_service=len(upstreams) > MAX_AFFECTED,
            )
        await sleep(fault.for_s)
        for upstream in upstreams:
            _end_statement(upstream, fault.kind)
        for span in spans:
            span.end = monotonic()

    def _draw(self, random: Random) -> list[int]:
        numbers = range(len(self.upstreams.current))
        if random.random() < WHOLE_SERVICE_SHARE:
            service = self.upstreams.current[random.choice(numbers)].service
            return [n for n in numbers if self.upstreams.current[n].service == service]
        return random.sample(numbers, random.randint(1, MAX_AFFECTED))

    def check(self) -> None:
        """Check the compliance with all statements, at the end of the soak."""
        forwarded_by_upstream: dict[str, list[ForwardedRequest]] = {}
        for each in self._forwarded_requests():
            name = each.arrival.at.name
            forwarded_by_upstream.setdefault(name, []).append(each)
        for forwarded in forwarded_by_upstream.values():
            upstream = forwarded[0].arrival.at
            self._check_limits(upstream, forwarded)
            self._check_leaving(upstream, forwarded)
            self._check_retry_after(upstream, forwarded)

    def _forwarded_requests(self) -> Iterator[ForwardedRequest]:
        """Yield the requests whose forwarding process is known."""
        observed_by_request = {each.request: each for each in self.checks.requests}
        last_by_request = {each.request: each for each in self.upstreams.arrivals}
        for arrival in self.upstreams.arrivals:
            observed = observed_by_request.get(arrival.request)
            if observed is None or observed.incarnation is None:
                continue
            is_last = last_by_request[arrival.request] is arrival
            has_answer = observed.status is not None
            # The caller may have got another answer before, such as for a time-out.
            is_relayed = (
                is_last and has_answer and arrival.answered_at <= observed.ended_at
            )
            own = Sender(vm=observed.vm, incarnation=observed.incarnation)
            sender = self._sender_of(observed) or own
            yield ForwardedRequest(
                sender=sender,
                sent_at=observed.sent_at,
                arrival=arrival,
                relayed_at=observed.ended_at if is_relayed else inf,
                relayed_by=None if sender == own else own,
                is_sender_known=not self._may_be_relayed(observed),
            )

    def _sender_of(self, observed: ObservedRequest) -> Sender | None:
        """Return the process of another VM that sent a request to its upstream."""
        if observed.sender == observed.vm or observed.sender_incarnation is None:
            return None
        return Sender(vm=observed.sender, incarnation=observed.sender_incarnation)

    def _may_be_relayed(self, observed: ObservedRequest) -> bool:
        """Return whether another VM may have sent a request whose answer names none."""
        return not observed.served_by and self.cuts.is_cut_off(
            observed.vm, observed.sent_at, observed.ended_at
        )

    def _must_comply(self, sender: Sender, known_at: float, at: float) -> bool:
        """Return whether a process must comply with a statement known to it.

        A process that was paused since it knew the statement need not comply.
        """
        due = self.checks.disturbances.extended_deadline(
            known_at, STATEMENT_DELAY_S, at
        )
        return at > due and not self.process_pauses.total_s(sender.vm, known_at, at)

    def _check_limits(
        self, upstream: Upstream, forwarded: list[ForwardedRequest]
    ) -> None:
        by_limit: dict[float, list[float]] = {}
        known_at: dict[Sender, float] = {}
        announced: float | None = None
        for each in forwarded:
            limit = each.arrival.limit_per_s
            if limit != announced:
                announced, known_at = limit, {}
            if limit is None:
                continue
            at = each.arrival.arrived_at
            if each.is_sender_known and self._must_comply(
                each.sender, known_at.get(each.sender, inf), at
            ):
                by_limit.setdefault(limit, []).append(at)
            if each.arrival.names_limit:
                _record_knowledge(known_at, each)
        for limit, times in by_limit.items():
            self.checks.counts["judged for limits"] += len(times)
            maximum = max_in_window(times, WINDOW_S)
            if maximum > max_allowed_requests(limit):
                detail = f"{upstream.name} got {maximum} in {WINDOW_S} s, limit {limit}"
                self.checks.fail("limit", detail, times[-1])

    def _check_leaving(
        self, upstream: Upstream, forwarded: list[ForwardedRequest]
    ) -> None:
        known_at: dict[Sender, float] = {}
        for each in forwarded:
            at, sender = each.arrival.arrived_at, each.sender
            since = known_at.get(sender, inf)
            if at > since:
                self.checks.counts["judged for leavings that were said"] += 1
            due = self.checks.disturbances.extended_deadline(
                since, self.checks.bounds.drain, at
            )
            if (
                each.is_sender_known
                and each.sent_at > due
                and self._must_comply(sender, since, at)
            ):
                detail = f"{upstream.name} had told {sender} {at - since:.3f} s before"
                self.checks.fail("said leaving", detail, at)
            if each.arrival.is_leaving:
                _record_knowledge(known_at, each)

    def _check_retry_after(
        self, upstream: Upstream, forwarded: list[ForwardedRequest]
    ) -> None:
        for rejected in forwarded:
            retry_after_s, since = (
                rejected.arrival.retry_after_s,
                rejected.arrival.answered_at,
            )
            if retry_after_s is None:
                continue
            self.checks.counts["judged for rests"] += 1
            arrived_at = [
                each.arrival.arrived_at
                for each in forwarded
                if each.sender == rejected.sender
                and each.is_sender_known
                and each.arrival.arrived_at < since + retry_after_s
                and self._must_comply(each.sender, since, each.arrival.arrived_at)
            ]
            if len(arrived_at) > MAX_DURING_RETRY_AFTER:
                detail = (
                    f"{upstream.name} got {len(arrived_at)} from"
                    f" {rejected.sender} in rest"
                )
                self.checks.fail("rest", detail, arrived_at[-1])


def _record_knowledge(
    known_at: dict[Sender, float], forwarded: ForwardedRequest
) -> None:
    """Record the earliest time at which processes have passed a statement on."""
    for sender in (forwarded.sender, forwarded.relayed_by):
        if sender is not None and forwarded.relayed_at < known_at.get(sender, inf):
            known_at[sender] = forwarded.relayed_at


def _begin_statement(
    upstream: Upstream, kind: str, random: Random, *, is_whole_service: bool
) -> None:
    match kind:
        case "limit":
            limits = WHOLE_SERVICE_LIMITS_PER_S if is_whole_service else LIMITS_PER_S
            upstream.limit_per_s = random.choice(limits)
        case "rest":
            upstream.retry_after_s = random.choice(RETRY_AFTERS_S)
        case _:
            upstream.malformed_statement = random.choice(MALFORMED_STATEMENTS)


def _end_statement(upstream: Upstream, kind: str) -> None:
    match kind:
        case "limit":
            upstream.limit_per_s = None
        case "rest":
            upstream.retry_after_s = None
        case _:
            upstream.malformed_statement = None
