"""What is sent on of a caller's request, to whichever side serves it."""

from __future__ import annotations

import math

from attrs import Factory

from plankspindle_core.classes import frozen
from plankspindle_core.http.headers import HeaderList
from plankspindle_core.http.server_exchange import ServerExchange
from plankspindle_daemon.exchange.dialect import Dialect
from plankspindle_daemon.exchange.request_body import RequestBody


@frozen(kw_only=True)
class OutgoingRequest:
    """What is forwarded of a caller's request.

    Parameters
    ----------
    source : ServerExchange
        HTTP exchange with the caller.
    path : str
        Path and query below the service.
    upstream_headers, peer_headers, relay_headers : list of (bytes, bytes)
        Headers for an upstream, for another entry VM that the request is moved to, and
        for one that serves it for this VM, without framing and deadline.
    body : RequestBody
        Request body.
    deadline : float
        Deadline of the request, monotonic seconds.
    deadline_ms : int
        The same deadline, milliseconds since the Unix epoch.
    dialect : Dialect
        Names of headers.
    names_service : bool
        Whether its path named the service; otherwise a route did.
    max_idle_non_idempotent_s : float
        Longest idle time, in seconds, of a reused connection for a request that must
        not run twice.
    max_buffered_answer_bytes : int
        Answers of up to this many bytes are buffered until they are complete, so that
        another attempt can be made if one is truncated.
    max_upload_stall_s : float
        Time without progress after which an upload gives way to a request that waits
        for an upstream, in seconds.
    """

    source: ServerExchange
    path: str
    upstream_headers: HeaderList
    peer_headers: HeaderList
    body: RequestBody
    deadline: float
    deadline_ms: int
    dialect: Dialect
    names_service: bool = False
    max_idle_non_idempotent_s: float = 0.0
    max_buffered_answer_bytes: int = 0
    max_upload_stall_s: float = math.inf
    relay_headers: HeaderList = Factory(list)
