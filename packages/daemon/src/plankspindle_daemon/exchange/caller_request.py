"""Parse the head of a caller's request, and build the headers to forward."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from plankspindle_core import header_names
from plankspindle_core.classes import frozen
from plankspindle_core.http.headers import find_header
from plankspindle_core.http.headers import without_hop_by_hop

if TYPE_CHECKING:
    from plankspindle_core.http.headers import HeaderList
    from plankspindle_daemon.exchange.dialect import Dialect

SERVICES_PREFIX = "/v1/services/"
MAX_KEY_CHARACTERS = 255
_MAX_DIGITS = 20
_REPLACED = frozenset(
    {b"host", b"authorization", b"expect", b"content-length", b"transfer-encoding"}
)
_FRAMING = frozenset({b"expect", b"content-length", b"transfer-encoding"})
_OWN_PREFIX = b"plankspindle-"
FORWARDED_FOR = b"x-forwarded-for"


@frozen
class BadRequest:
    """Error of a request that cannot be served as it was sent.

    Parameters
    ----------
    status : int
        Status code.
    reason : str
        What the caller must change.
    """

    status: int
    reason: str


@frozen(kw_only=True)
class CallerRequest:
    """Request of a caller, as its head states it.

    Parameters
    ----------
    service : str
        Name of the service.
    path : str
        Path and query below the service, with its leading slash.
    timeout_ms : int, optional
        Timeout set by the caller, in milliseconds.
    deadline_ms : int, optional
        Deadline, milliseconds since the Unix epoch.
    idempotency_key, request_id : str, optional
        Key or issued id with which the request must run at most once.
    forwarded : bool
        Whether another entry VM forwarded it.
    grant : int, optional
        Headroom grant under which it was forwarded to this VM.
    names_service : bool
        Whether its path named the service; otherwise a route did.
    """

    service: str
    path: str
    timeout_ms: int | None = None
    deadline_ms: int | None = None
    idempotency_key: str | None = None
    request_id: str | None = None
    forwarded: bool = False
    grant: int | None = None
    names_service: bool = False


def parse_caller_request(
    target: str, headers: HeaderList
) -> Result[CallerRequest, BadRequest]:
    """Parse the head of a request for a service.

    Parameters
    ----------
    target : str
        Request target, beginning with ``SERVICES_PREFIX``.
    headers : list of (bytes, bytes)
        Headers with lower-case names.

    Returns
    -------
    Result
        The parsed request, or the error to answer with.
    """
    service, slash, rest = target.removeprefix(SERVICES_PREFIX).partition("/")
    timeout = read_integer_header(headers, header_names.TIMEOUT)
    deadline = read_integer_header(headers, header_names.DEADLINE)
    grant = read_integer_header(headers, header_names.GRANT)
    for number in (timeout, deadline, grant):
        if number.is_err():
            return Err(number.unwrap_err())
    key = _decoded_header(headers, header_names.IDEMPOTENCY_KEY)
    request_id = _decoded_header(headers, header_names.REQUEST_ID)
    if key is not None and request_id is not None:
        return Err(BadRequest(400, "send Idempotency-Key or a request id, not both"))
    if key is not None and not 0 < len(key) <= MAX_KEY_CHARACTERS:
        return Err(
            BadRequest(400, f"Idempotency-Key has 1 to {MAX_KEY_CHARACTERS} characters")
        )
    return Ok(
        CallerRequest(
            service=service,
            path=(slash + rest) if slash else "/",
            timeout_ms=timeout.unwrap(),
            deadline_ms=deadline.unwrap(),
            idempotency_key=key,
            request_id=request_id,
            forwarded=find_header(headers, header_names.FORWARDED) is not None,
            grant=grant.unwrap(),
            names_service=True,
        )
    )


def read_integer_header(
    headers: HeaderList, name: bytes
) -> Result[int | None, BadRequest]:
    """Parse a header that must be a whole number; None if it is absent."""
    text = find_header(headers, name)
    if text is None:
        return Ok(None)
    if not text.isdigit() or len(text) > _MAX_DIGITS:
        return Err(BadRequest(400, f"{name.decode()} is a whole number"))
    return Ok(int(text))


def _decoded_header(headers: HeaderList, name: bytes) -> str | None:
    value = find_header(headers, name)
    return None if value is None else value.decode("latin-1")


def headers_for_upstream(
    headers: HeaderList,
    *,
    caller: str | None,
    workspace: str | None,
    peer_host: str | None,
) -> HeaderList:
    """Return the headers to forward to an upstream, without framing and deadline.

    Parameters
    ----------
    headers : list of (bytes, bytes)
        Headers of the caller.
    caller : str, optional
        Name of the caller, if it has an API key. The key itself is not forwarded.
    workspace : str, optional
        Name of the caller's workspace.
    peer_host : str, optional
        IP address of the caller; None if the headers name it already.
    """
    kept = [
        (key, value)
        for key, value in without_hop_by_hop(headers)
        if key not in _REPLACED and not key.startswith(_OWN_PREFIX)
    ]
    if peer_host is not None:
        kept.append((FORWARDED_FOR, peer_host.encode()))
    if caller is not None:
        kept.append((b"plankspindle-caller", caller.encode()))
    if workspace is not None:
        kept.append((header_names.WORKSPACE, workspace.encode()))
    return kept


def passthrough_headers(
    headers: HeaderList, *, dialect: Dialect, workspace: str | None
) -> HeaderList:
    """Return a caller's headers to forward unchanged, ``Host`` included.

    Hop-by-hop headers, framing, the deadline, the API key, and any target upstream or
    workspace that the caller named are left out.

    Parameters
    ----------
    headers : list of (bytes, bytes)
        Headers of the caller.
    dialect : Dialect
        Names of the headers that this daemon sets itself.
    workspace : str, optional
        Name of the caller's workspace. It replaces any workspace header of the caller,
        which could be forged. The API key is not forwarded.
    """
    replaced = {*_FRAMING, dialect.deadline, dialect.target_upstream}
    replaced |= {header_names.AUTHORIZATION, dialect.workspace, header_names.RELAY}
    kept = [each for each in without_hop_by_hop(headers) if each[0] not in replaced]
    if workspace is not None:
        kept.append((dialect.workspace, workspace.encode()))
    return kept


def headers_for_peer(
    headers: HeaderList, *, grant: int | None, signed_identity: bytes | None
) -> HeaderList:
    """Return the headers to forward to another entry VM, without framing and deadline.

    Parameters
    ----------
    headers : list of (bytes, bytes)
        Headers of the caller.
    grant : int, optional
        Headroom grant under which the request is forwarded.
    signed_identity : bytes, optional
        Signed identity of the caller. It replaces the API key, which is not forwarded.
    """
    dropped = {b"host", b"expect", b"content-length", header_names.DEADLINE}
    dropped |= {header_names.TIMEOUT, header_names.FORWARDED, header_names.GRANT}
    dropped |= {header_names.AUTHORIZATION, header_names.IDENTITY}
    kept = [each for each in without_hop_by_hop(headers) if each[0] not in dropped]
    kept.append((header_names.FORWARDED, b"1"))
    if signed_identity is not None:
        kept.append((header_names.IDENTITY, signed_identity))
    if grant is not None:
        kept.append((header_names.GRANT, str(grant).encode()))
    return kept


def headers_for_relay(
    headers: HeaderList, *, dialect: Dialect, peer_host: str
) -> HeaderList:
    """Return the headers for an entry VM that serves for this one.

    They are the caller's, ``Host`` included, without framing, timeout and API key.

    Parameters
    ----------
    headers : list of (bytes, bytes)
        Headers of the caller.
    dialect : Dialect
        Names of headers.
    peer_host : str
        IP address of the caller.
    """
    replaced = {*_FRAMING, dialect.timeout, dialect.deadline, header_names.TIMEOUT}
    replaced |= {header_names.DEADLINE, header_names.FORWARDED, header_names.GRANT}
    replaced |= {header_names.AUTHORIZATION, header_names.IDENTITY, header_names.RELAY}
    kept = [each for each in without_hop_by_hop(headers) if each[0] not in replaced]
    if not dialect.passes_headers_through:
        kept.append((FORWARDED_FOR, peer_host.encode()))
    return kept
