"""Headers of one attempt, and of the answer that a caller gets for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_core import header_names
from plankspindle_core.classes import frozen
from plankspindle_core.endpoint import Endpoint
from plankspindle_core.http.headers import as_header_list
from plankspindle_core.http.headers import find_header
from plankspindle_core.http.headers import without_hop_by_hop
from plankspindle_core.outcome import Outcome
from plankspindle_daemon.exchange.outgoing_request import OutgoingRequest
from plankspindle_daemon.exchange.relaying import format_upstream
from plankspindle_daemon.exchange.relaying import format_version

if TYPE_CHECKING:
    from plankspindle_core.http.headers import HeaderList
    from plankspindle_daemon.dispatch.messages import Assign
    from plankspindle_daemon.exchange.relaying import Relaying

_NOT_FOR_CALLERS = frozenset(
    {header_names.OUTCOME, header_names.RELAY_VERSION, header_names.RELAY_UPSTREAM}
)
"""Headers of an answer that are set anew, or meant for this VM."""


@frozen(kw_only=True)
class AttemptHeaders:
    """Build the headers of one attempt.

    Parameters
    ----------
    outgoing : OutgoingRequest
        The request to send.
    endpoint : Endpoint
        Where it is sent.
    left_ms : int
        Time that is left until its deadline, in ms.
    """

    outgoing: OutgoingRequest
    endpoint: Endpoint
    left_ms: int

    def for_upstream(self, upstream: str) -> HeaderList:
        """Return the headers for an upstream."""
        outgoing, dialect = self.outgoing, self.outgoing.dialect
        own = [] if dialect.passes_headers_through else [self._host()]
        deadline = str(outgoing.deadline_ms).encode()
        if dialect.deadline_is_time_left:
            deadline = self._left()
        own.append((dialect.deadline, deadline))
        if dialect.target_upstream is not None:
            own.append((dialect.target_upstream, upstream.encode()))
        return [*own, *outgoing.upstream_headers, *outgoing.body.framing]

    def for_peer(self) -> HeaderList:
        """Return the headers for an entry VM that a request is moved to."""
        outgoing = self.outgoing
        deadline = (header_names.DEADLINE, str(outgoing.deadline_ms).encode())
        own = [self._host(), deadline]
        return [*own, *outgoing.peer_headers, *outgoing.body.framing]

    def for_relay(self, ticket: HeaderList) -> HeaderList:
        """Return the headers for an entry VM that serves for this one.

        Parameters
        ----------
        ticket : list of (bytes, bytes)
            Headers that tell that VM about the request.
        """
        outgoing = self.outgoing
        timeout = outgoing.dialect.timeout
        if outgoing.names_service:
            timeout = header_names.TIMEOUT
        own = [(timeout, self._left()), *ticket]
        return [*own, *outgoing.relay_headers, *outgoing.body.framing]

    def _host(self) -> tuple[bytes, bytes]:
        return (b"host", str(self.endpoint).encode())

    def _left(self) -> bytes:
        return str(self.left_ms).encode()


def headers_for_caller(
    answered: HeaderList, *, vm: str, assigned: Assign | None, relaying: Relaying
) -> HeaderList:
    """Return the headers of an answer that is passed on to the caller.

    Parameters
    ----------
    answered : list of (bytes, bytes)
        Headers of the answer, with lower-case names.
    vm : str
        Name of this VM.
    assigned : Assign, optional
        The upstream that answered; None if another entry VM did.
    relaying : Relaying
        Relays of the request.
    """
    headers = [
        each
        for each in as_header_list(without_hop_by_hop(answered))
        if each[0] not in _NOT_FOR_CALLERS
    ]
    outcome = find_header(answered, header_names.OUTCOME)
    if assigned is not None or outcome is None:
        outcome = Outcome.DONE.value.encode()
    headers.append((header_names.OUTCOME, outcome))
    if assigned is not None:
        served_by = f"{vm}/{assigned.upstream}"
        headers.append((header_names.SERVED_BY, served_by.encode()))
    if relaying.was_relayed_here:
        version = format_version(relaying.node.version)
        headers.append((header_names.RELAY_VERSION, version))
        if assigned is not None:
            headers.append((header_names.RELAY_UPSTREAM, format_upstream(assigned)))
    return headers


def peer_proves_not_run(answered: HeaderList) -> bool:
    """Return whether another entry VM states that it has not run a request."""
    outcome = find_header(answered, header_names.OUTCOME)
    return outcome == Outcome.NOT_RUN.value.encode()
