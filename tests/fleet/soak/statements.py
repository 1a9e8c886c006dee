"""What upstreams of a soak say of themselves, and whether entry VMs go by it."""

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
from soak.process_pauses import ProcessPauses
from soak.upstreams import Arrival
from soak.upstreams import Upstream
from soak.upstreams import Upstreams

if TYPE_CHECKING:
    from collections.abc import Iterator

    from plankspindle_testkit.soak.soak_fault import SoakFault

MAX_DURING_RETRY_AFTER = 2
MAX_AFFECTED = 3
WHOLE_SERVICE_SHARE = 0.2
"""Part of the faults that strike all upstreams of a service."""
LIMITS_PER_S = (0.0, 0.5, 1.0, 2.0, 4.0)
WHOLE_SERVICE_LIMITS_PER_S = (2.0, 4.0)
"""Limits of a whole service, which end soon enough for its calm end to be judged."""
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
    """A request at an upstream, with the process that it came from.

    Parameters
    ----------
    sender : Sender
        The process.
    sent_at : float
        When its caller sent it, monotonic seconds.
    arrival : Arrival
        Where and when it arrived, and what was said in the answer.
    relayed_at : float
        When its caller had the whole answer, monotonic seconds; infinite if it did not
        get that one, since the process had left the upstream before.
    """

    sender: Sender
    sent_at: float
    arrival: Arrival
    relayed_at: float


@define(kw_only=True)
class Statements:
    """Let upstreams say things of themselves, and check what they get.

    Parameters
    ----------
    checks : Checks
        Where findings go.
    upstreams : Upstreams
        The upstreams.
    process_pauses : ProcessPauses
        When processes stood still, which excuses them.
    seed : int
        Source of choices, with the time of the fault: a replay makes the same.
    """

    checks: Checks
    upstreams: Upstreams
    process_pauses: ProcessPauses
    seed: int

    async def inject(self, fault: SoakFault) -> None:
        """Let some upstreams say something for a while."""
        random = Random(f"statements of {self.seed} at {fault.at}")
        struck = self._draw(random)
        if fault.kind == "say-leave":
            for number in struck:
                await spawn(self.upstreams.leave_by_header, number, daemon=True)
            return
        lives = [self.upstreams.current[number] for number in struck]
        spans = []
        for upstream in lives:
            if fault.kind != "misspeak":
                spans.append(self.upstreams.begin_withholding(upstream))
            _begin_statement(
                upstream, fault.kind, random, is_whole=len(lives) > MAX_AFFECTED
            )
        await sleep(fault.for_s)
        for upstream in lives:
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
        """Check all that was said, at the end."""
        passed_by_upstream: dict[str, list[ForwardedRequest]] = {}
        for each in self._forwarded_requests():
            name = each.arrival.at.name
            passed_by_upstream.setdefault(name, []).append(each)
        for passed in passed_by_upstream.values():
            upstream = passed[0].arrival.at
            self._check_limits(upstream, passed)
            self._check_leaving(upstream, passed)
            self._check_rests(upstream, passed)

    def _forwarded_requests(self) -> Iterator[ForwardedRequest]:
        """Give the requests of which it is known what process sent them on."""
        told_by_request = {each.request: each for each in self.checks.requests}
        last_by_request = {each.request: each for each in self.upstreams.arrivals}
        for arrival in self.upstreams.arrivals:
            told = told_by_request.get(arrival.request)
            if told is None or told.incarnation is None:
                continue
            is_last = last_by_request[arrival.request] is arrival
            is_relayed = is_last and told.status is not None
            yield ForwardedRequest(
                sender=Sender(vm=told.vm, incarnation=told.incarnation),
                sent_at=told.sent_at,
                arrival=arrival,
                relayed_at=told.ended_at if is_relayed else inf,
            )

    def _must_comply(self, sender: Sender, told_at: float, at: float) -> bool:
        """Tell whether a process must go by what it was told, at a later moment."""
        due = self.checks.disturbances.extended_deadline(told_at, STATEMENT_DELAY_S, at)
        return at > due and not self.process_pauses.total_s(sender.vm, told_at, at)

    def _check_limits(self, upstream: Upstream, passed: list[ForwardedRequest]) -> None:
        by_limit: dict[float, list[float]] = {}
        told_at: dict[Sender, float] = {}
        named: float | None = None
        for each in passed:
            limit = each.arrival.limit_per_s
            if limit != named:
                named, told_at = limit, {}
            if limit is None:
                continue
            at = each.arrival.arrived_at
            if self._must_comply(each.sender, told_at.get(each.sender, inf), at):
                by_limit.setdefault(limit, []).append(at)
            if each.arrival.names_limit:
                _record_knowledge(told_at, each)
        for limit, times in by_limit.items():
            self.checks.counts["judged for limits"] += len(times)
            most = max_in_window(times, WINDOW_S)
            if most > max_allowed_requests(limit):
                detail = f"{upstream.name} got {most} in {WINDOW_S} s, limit {limit}"
                self.checks.fail("limit", detail, times[-1])

    def _check_leaving(
        self, upstream: Upstream, passed: list[ForwardedRequest]
    ) -> None:
        told_at: dict[Sender, float] = {}
        for each in passed:
            at, sender = each.arrival.arrived_at, each.sender
            since = told_at.get(sender, inf)
            if at > since:
                self.checks.counts["judged for leavings that were said"] += 1
            due = self.checks.disturbances.extended_deadline(
                since, self.checks.bounds.drain, at
            )
            if each.sent_at > due and self._must_comply(sender, since, at):
                detail = f"{upstream.name} had told {sender} {at - since:.3f} s before"
                self.checks.fail("said leaving", detail, at)
            if each.arrival.is_leaving:
                _record_knowledge(told_at, each)

    def _check_rests(self, upstream: Upstream, passed: list[ForwardedRequest]) -> None:
        for asked in passed:
            rest_s, since = asked.arrival.retry_after_s, asked.arrival.answered_at
            if rest_s is None:
                continue
            self.checks.counts["judged for rests"] += 1
            came = [
                each.arrival.arrived_at
                for each in passed
                if each.sender == asked.sender
                and each.arrival.arrived_at < since + rest_s
                and self._must_comply(each.sender, since, each.arrival.arrived_at)
            ]
            if len(came) > MAX_DURING_RETRY_AFTER:
                detail = f"{upstream.name} got {len(came)} from {asked.sender} in rest"
                self.checks.fail("rest", detail, came[-1])


def _record_knowledge(told_at: dict[Sender, float], passed: ForwardedRequest) -> None:
    """Note from when a process knows what an answer said that it relayed."""
    if passed.relayed_at < told_at.get(passed.sender, inf):
        told_at[passed.sender] = passed.relayed_at


def _begin_statement(
    upstream: Upstream, kind: str, random: Random, *, is_whole: bool
) -> None:
    match kind:
        case "limit":
            limits = WHOLE_SERVICE_LIMITS_PER_S if is_whole else LIMITS_PER_S
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
