"""Relaying of one request to another entry VM while this one reaches no upstream."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from plankspindle_core import header_names
from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_core.http.headers import find_header
from plankspindle_core.outcome import Outcome
from plankspindle_core.steady_clock import monotonic
from plankspindle_daemon.admission.identity_signer import IdentitySigner
from plankspindle_daemon.exchange.messages import Refused
from plankspindle_daemon.exchange.messages import RelayAssigned
from plankspindle_daemon.node.node import Node
from plankspindle_daemon.reachability.relay_admission import DECLINE_REASONS
from plankspindle_daemon.reachability.relay_admission import DeclineReason
from plankspindle_daemon.reachability.relay_ticket import RelayTicket
from plankspindle_daemon.traces.request_trace import RequestTrace
from plankspindle_daemon.traces.steps import Relayed
from plankspindle_daemon.upstreams.fleet_limiter import incarnation_id_of
from plankspindle_daemon.versions.configuration_version import ConfigurationVersion

if TYPE_CHECKING:
    from plankspindle_core.http.headers import HeaderList
    from plankspindle_daemon.admission.ticket import Ticket
    from plankspindle_daemon.dispatch.messages import Assign

CUT_OFF = DeclineReason.CUT_OFF.value
MAX_RELAYS_TRIED = 3
"""Entry VMs that are asked to serve a request before it is rejected."""
RETRY_AFTER_S = 0.3
"""Minimum ``Retry-After`` where no other entry VM takes a request, in seconds."""
_SKIPPED_FOR_A_WHILE = frozenset(
    {
        DeclineReason.CUT_OFF.value,
        DeclineReason.NOT_READY.value,
        DeclineReason.BUSY.value,
    }
)
"""Reasons of declining that hold for other requests, too."""


@frozen(kw_only=True)
class AnsweringUpstream:
    """The upstream that an answer is from.

    Parameters
    ----------
    name : str
        Its name.
    incarnation : int
        Its incarnation; zero if unknown.
    """

    name: str
    incarnation: int


@define(kw_only=True)
class Relaying:
    """Decide on the relays of one request, and keep account of them.

    Parameters
    ----------
    node : Node
        State of this VM.
    signer : IdentitySigner
        Signs tickets.
    trace : RequestTrace
        Trace of the request.
    key_digest : str, optional
        Digest of the caller's API key.
    is_idempotent : bool
        Whether the request may run more than once.
    was_relayed_here : bool
        Whether another VM relayed it to this one, which must not relay it again.
    """

    node: Node
    signer: IdentitySigner
    trace: RequestTrace
    key_digest: str | None
    is_idempotent: bool
    was_relayed_here: bool
    _vm: str | None = None

    def choose(
        self, ticket: Ticket, excluded: frozenset[str]
    ) -> RelayAssigned | Refused | None:
        """Choose an entry VM if this one reaches no upstream, and record the relay.

        Parameters
        ----------
        ticket : Ticket
            The request as admission sees it.
        excluded : frozenset of str
            Entry VMs that were asked before.

        Returns
        -------
        RelayAssigned, Refused or None
            None if the request is to be tried at an upstream from here. It is refused
            if no VM takes it and an attempt from here would only cost time.
        """
        reach, now = self.node.reach, monotonic()
        if not reach.is_cut_off:
            return None
        target = None
        configuration = self.node.configuration
        is_tried_out = len(excluded) >= MAX_RELAYS_TRIED
        may_relay = not (self.was_relayed_here or is_tried_out)
        if may_relay and configuration is not None:
            target = self.node.relays.choose(
                configuration=configuration,
                allowed_regions=ticket.allowed_regions,
                excluded=excluded,
                now=now,
            )
        if target is not None:
            self.trace.record(Relayed(to=target.vm, asked_before=len(excluded)), now)
            self._vm = target.vm
            self.node.relays.record_started(target.vm)
            return RelayAssigned(vm=target.vm, endpoint=target.endpoint)
        is_overtaken = self.node.relays.is_overtaken(self.node.version, now)
        if not (self.was_relayed_here or is_overtaken) and reach.allows_attempt(now):
            return None
        wait_s = RETRY_AFTER_S * self.node.random.uniform(1.0, 2.0)
        return Refused(reason=CUT_OFF, retry_after_s=wait_s)

    def end(self) -> None:
        """Record that the relay ended, if there is one."""
        vm, self._vm = self._vm, None
        if vm is not None:
            self.node.relays.record_ended(vm)

    def record_unreachable(self) -> None:
        """Record that no connection to the VM was established."""
        if self._vm is not None:
            self.node.relays.record_declined(self._vm, monotonic())

    def headers(self, *, target: str, attempts: int) -> HeaderList:
        """Return the headers that tell the other VM about the request.

        Parameters
        ----------
        target : str
            Request target.
        attempts : int
            Attempts that may still be made.
        """
        ticket = RelayTicket(
            sender=self.node.vm,
            key_digest=self.key_digest,
            attempts=attempts,
            is_idempotent=self.is_idempotent,
            version=self.node.relays.version_floor.at(monotonic()),
        )
        sealed = ticket.seal(
            self.signer, target=target, wall_ms=int(time.time() * 1000)
        )
        return [(header_names.RELAY, sealed)]

    def read_refusal(self, status: int, headers: HeaderList) -> Refused | None:
        """Return how the other VM refused the request, which it has not run.

        Parameters
        ----------
        status : int
            Status of its answer.
        headers : list of (bytes, bytes)
            Headers of its answer.

        Returns
        -------
        Refused or None
            None if it did not refuse the request.
        """
        if find_header(headers, header_names.OUTCOME) != Outcome.NOT_RUN.value.encode():
            self._record_version(headers)
            return None
        reason = (find_header(headers, header_names.REASON) or b"").decode("latin-1")
        if self._vm is not None and reason in _SKIPPED_FOR_A_WHILE:
            self.node.relays.record_declined(self._vm, monotonic())
        elif self._vm is not None and reason not in DECLINE_REASONS:
            self.node.relays.record_answered(self._vm, monotonic())
        wait_ms = find_header(headers, header_names.RETRY_AFTER_MS) or b""
        return Refused(
            reason=reason or "refused-by-relay",
            retry_after_s=int(wait_ms) / 1000 if wait_ms.isdigit() else RETRY_AFTER_S,
            status=status,
        )

    def read_upstream(self, headers: HeaderList) -> AnsweringUpstream | None:
        """Return the upstream whose answer another VM passed on, if it names one."""
        text = find_header(headers, header_names.RELAY_UPSTREAM)
        if text is None:
            return None
        name, _, incarnation = text.decode("latin-1").rpartition("#")
        if not incarnation.isdigit():
            return None
        return AnsweringUpstream(name=name, incarnation=int(incarnation))

    def _record_version(self, headers: HeaderList) -> None:
        text = find_header(headers, header_names.RELAY_VERSION)
        version = None if text is None else _parse_version(text)
        if version is not None:
            self.node.relays.version_floor.record_observed(version, monotonic())


def format_upstream(assigned: Assign) -> bytes:
    """Return an upstream in the form of the header of answers to relayed requests."""
    return incarnation_id_of(assigned.upstream, assigned.incarnation).encode()


def is_declined(refused: Refused) -> bool:
    """Return whether another entry VM may be asked after a refusal."""
    return refused.reason in DECLINE_REASONS


def format_version(version: ConfigurationVersion) -> bytes:
    """Return a version in the form of the header of answers to relayed requests."""
    return str(version).encode()


def _parse_version(text: bytes) -> ConfigurationVersion | None:
    numbers = text.split(b".")
    if len(numbers) != 3 or not all(each.isdigit() for each in numbers):
        return None
    revision, era, number = map(int, numbers)
    return ConfigurationVersion(revision=revision, era=era, number=number)
