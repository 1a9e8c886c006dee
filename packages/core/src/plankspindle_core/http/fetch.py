"""Complete HTTP exchanges, on a new or an existing connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from curio import TaskTimeout
from result import Err
from result import Ok
from result import Result

from plankspindle_core.classes import frozen
from plankspindle_core.http.client_connection import ClientConnection
from plankspindle_core.http.errors import HttpError
from plankspindle_core.http.errors import TimedOut
from plankspindle_core.http.headers import HeaderList
from plankspindle_core.http.headers import as_header_list
from plankspindle_core.time_limit import within

if TYPE_CHECKING:
    from plankspindle_core.endpoint import Endpoint

MAX_BODY_BYTES = 64 * 1024 * 1024


@frozen(kw_only=True)
class HttpAnswer:
    """A complete answer.

    Parameters
    ----------
    status : int
        Status code.
    headers : list of (bytes, bytes)
        Headers with lower-case names.
    body : bytes
        The complete body.
    """

    status: int
    headers: HeaderList
    body: bytes


async def fetch(
    endpoint: Endpoint,
    *,
    method: str = "GET",
    target: str = "/",
    headers: HeaderList | None = None,
    body: bytes = b"",
    timeout_s: float,
    max_body_bytes: int = MAX_BODY_BYTES,
) -> Result[HttpAnswer, HttpError]:
    """Make one exchange on a new connection and close it.

    Parameters
    ----------
    endpoint : Endpoint
        Server to send the request to.
    method, target : str
        Request line.
    headers : list of (bytes, bytes), optional
        Headers other than ``Host`` and the framing.
    body : bytes
        Complete request body.
    timeout_s : float
        Timeout of the complete exchange, in seconds.
    max_body_bytes : int
        Longest answer body to accept.

    Returns
    -------
    Result
        The complete answer, or the failure. After :class:`ConnectionLost` and
        :class:`TimedOut` the server may have acted on the request.
    """
    connection = ClientConnection(endpoint=endpoint)
    closing = [(b"connection", b"close"), *(headers or [])]
    try:
        return await within(  # type: ignore[no-any-return]
            timeout_s,
            _exchange,
            connection,
            method,
            target,
            closing,
            body,
            timeout_s,
            max_body_bytes,
        )
    except TaskTimeout:
        return Err(TimedOut(timeout_s))
    finally:
        await connection.close()


async def _exchange(
    connection: ClientConnection,
    method: str,
    target: str,
    headers: HeaderList,
    body: bytes,
    timeout_s: float,
    max_body_bytes: int,
) -> Result[HttpAnswer, HttpError]:
    started = await connection.start(timeout_s=timeout_s)
    if started.is_err():
        return Err(started.unwrap_err())
    return await exchange_on(
        connection,
        method=method,
        target=target,
        headers=headers,
        body=body,
        max_body_bytes=max_body_bytes,
    )


async def exchange_on(
    connection: ClientConnection,
    *,
    method: str,
    target: str,
    headers: HeaderList,
    body: bytes = b"",
    max_body_bytes: int = MAX_BODY_BYTES,
) -> Result[HttpAnswer, HttpError]:
    """Make one exchange on an established connection.

    Parameters
    ----------
    connection : ClientConnection
        A new connection, or one that was prepared for reuse.
    method, target : str
        Request line.
    headers : list of (bytes, bytes)
        Headers other than ``Host`` and ``Content-Length``.
    body : bytes
        Complete request body.
    max_body_bytes : int
        Longest answer body to accept.

    Returns
    -------
    Result
        The complete answer, or how the connection was lost.
    """
    framing = [
        (b"host", str(connection.endpoint).encode()),
        (b"content-length", str(len(body)).encode()),
    ]
    sent = await connection.send_request(
        method=method, target=target, headers=[*framing, *headers]
    )
    if sent.is_ok() and body:
        sent = await connection.send_data(body)
    if sent.is_ok():
        sent = await connection.end_request()
    if sent.is_err():
        return Err(sent.unwrap_err())
    head = await connection.read_head()
    if head.is_err():
        return Err(head.unwrap_err())
    content = await connection.read_body(max_bytes=max_body_bytes)
    if content.is_err():
        return Err(content.unwrap_err())
    response = head.unwrap()
    return Ok(
        HttpAnswer(
            status=response.status_code,
            headers=as_header_list(response.headers),
            body=content.unwrap(),
        )
    )
