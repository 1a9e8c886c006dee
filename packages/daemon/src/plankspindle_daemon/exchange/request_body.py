"""Body of a caller's request: buffered if it is short, streamed otherwise."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from plankspindle_core.classes import define
from plankspindle_core.http.headers import HeaderList
from plankspindle_core.http.headers import find_header
from plankspindle_core.http.server_exchange import CallerDisconnectedError
from plankspindle_core.http.server_exchange import CallerShedError
from plankspindle_core.time_limit import forget_frames
from plankspindle_daemon.exchange.caller_request import BadRequest

if TYPE_CHECKING:
    from plankspindle_core.http.client_connection import ClientConnection
    from plankspindle_core.http.server_exchange import ServerExchange


NO_MEMORY = "no-memory"
"""Reason where callers hold all the memory, or connections, that there are for them."""
_TOO_LONG = 413
_CHUNKED: HeaderList = [(b"transfer-encoding", b"chunked")]


class BodyTooLongError(CallerDisconnectedError):
    """A body that is passed on as it arrives is longer than callers may send.

    Attributes
    ----------
    refusal : BadRequest
        What to tell the caller. Its request has not run, since no upstream has got the
        end of it.
    """

    def __init__(self, max_bytes: int) -> None:
        self.refusal = refuse_longer_than(max_bytes)
        super().__init__(self.refusal.reason)


@define(kw_only=True)
class RequestBody:
    """Body that is buffered, or streamed from the caller.

    Parameters
    ----------
    content : bytes, optional
        The complete body; None if it is streamed as it arrives.
    framing : list of (bytes, bytes)
        Header that frames the body for the next hop.
    beginning : bytes
        What was read already of a streamed body; dropped once it is sent.
    max_bytes : int, optional
        Longest body that the caller may send, in bytes; any length if not given.

    Attributes
    ----------
    awaits_caller : bool
        Whether more of a streamed body is awaited from its caller. Its upstream cannot
        answer before it has the whole.
    """

    content: bytes | None
    framing: HeaderList
    beginning: bytes = b""
    max_bytes: int | None = None
    awaits_caller: bool = False
    _sent_bytes: int = 0

    @property
    def is_streamed(self) -> bool:
        """Whether the body is passed on as it arrives."""
        return self.content is None

    async def send(self, source: ServerExchange, connection: ClientConnection) -> bool:
        """Send the body and its end.

        Parameters
        ----------
        source : ServerExchange
            Exchange with the caller, from which a streamed body is read.
        connection : ClientConnection
            Connection to send the body on.

        Returns
        -------
        bool
            False if the connection was lost.

        Raises
        ------
        CallerDisconnectedError
            If the caller disconnected before a streamed body was sent.
        BodyTooLongError
            If a streamed body is longer than the caller may send.
        """
        if self.content is not None:
            if self.content and (await connection.send_data(self.content)).is_err():
                return False
            return (await connection.end_request()).is_ok()
        await source.begin_streaming()
        self._count(self.beginning)
        beginning, self.beginning = self.beginning, b""
        if beginning and (await connection.send_data(beginning)).is_err():
            return False
        del beginning
        return await self._stream(source, connection)

    async def _stream(
        self, source: ServerExchange, connection: ClientConnection
    ) -> bool:
        """Send a body as it arrives; return False if the connection was lost.

        The end of a body may have been held up behind its unread bytes together with
        the caller's disconnect. Each chunk is therefore kept until the next one has
        arrived, so that the request of a caller that has left is never complete at the
        upstream.
        """
        await source.begin_streaming(buffered_bytes=0)
        chunk = await self._read_chunk(source)
        while chunk is not None:
            following = await self._read_chunk(source)
            if following is None:
                source.check_connected()
            if (await connection.send_data(chunk)).is_err():
                return False
            chunk = following
        await source.begin_running()
        return (await connection.end_request()).is_ok()

    async def _read_chunk(self, source: ServerExchange) -> bytes | None:
        """Read the next chunk; the caller stays awaited if that does not succeed."""
        self.awaits_caller = True
        chunk = await source.read_chunk()
        if chunk is not None:
            self._count(chunk)
        self.awaits_caller = False
        return chunk

    def _count(self, part: bytes) -> None:
        self._sent_bytes += len(part)
        if self.max_bytes is not None and self._sent_bytes > self.max_bytes:
            raise BodyTooLongError(self.max_bytes)


async def read_body_to_run(
    source: ServerExchange, *, max_buffered_bytes: int, max_bytes: int | None
) -> Result[RequestBody, str | BadRequest]:
    """Read the body of a request, which counts as running afterwards.

    Parameters
    ----------
    source : ServerExchange
        HTTP exchange with the caller.
    max_buffered_bytes : int
        Maximum length of a buffered body, in bytes.
    max_bytes : int, optional
        Longest body that callers may send, in bytes; any length if not given.

    Returns
    -------
    Result
        The body, or the reason why the request cannot run, or what its caller must
        change.
    """
    if max_bytes is not None and _declared_length(source) > max_bytes:
        return Err(refuse_longer_than(max_bytes))
    try:
        body = await _read_body(source, max_buffered_bytes)
        await source.begin_running()
    except CallerShedError as error:
        forget_frames(error)
        return Err(NO_MEMORY)
    if max_bytes is not None and len(body.content or body.beginning) > max_bytes:
        return Err(refuse_longer_than(max_bytes))
    body.max_bytes = max_bytes
    return Ok(body)


def refuse_longer_than(max_bytes: int) -> BadRequest:
    """Return what a caller is told that sends a longer body than it may."""
    return BadRequest(_TOO_LONG, f"send at most {max_bytes} bytes")


async def _read_body(source: ServerExchange, max_bytes: int) -> RequestBody:
    """Buffer a short body; leave a long one to be streamed as it arrives.

    The beginning of a long one in chunks is read, since only that shows its length.
    """
    length = find_header(source.headers, b"content-length")
    if length is not None and int(length) > max_bytes:
        return RequestBody(content=None, framing=[(b"content-length", length)])
    has_body = length is not None or _is_chunked(source)
    body = await source.read_beginning(max_bytes=max_bytes)
    if len(body) > max_bytes:
        return RequestBody(content=None, framing=_CHUNKED, beginning=body)
    framing = [(b"content-length", str(len(body)).encode())] if has_body else []
    return RequestBody(content=body, framing=framing)


def _declared_length(source: ServerExchange) -> int:
    """Return the length that the head declares; 0 if it declares none."""
    return int(find_header(source.headers, b"content-length") or 0)


def _is_chunked(source: ServerExchange) -> bool:
    return find_header(source.headers, b"transfer-encoding") is not None
