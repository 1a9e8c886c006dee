"""The body of a caller's request, kept whole if it is short."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_core.classes import define
from plankspindle_core.http.headers import HeaderList
from plankspindle_core.http.headers import find_header

if TYPE_CHECKING:
    from plankspindle_core.http.client_connection import ClientConnection
    from plankspindle_core.http.server_exchange import ServerExchange


@define(kw_only=True)
class RequestBody:
    """A body that is at hand, or still arrives.

    Parameters
    ----------
    content : bytes, optional
        The whole body; None if it is passed on as it arrives.
    framing : list of (bytes, bytes)
        Header that frames it towards the next hop.
    """

    content: bytes | None
    framing: HeaderList

    async def send(self, source: ServerExchange, connection: ClientConnection) -> bool:
        """Send the body and its end.

        Parameters
        ----------
        source : ServerExchange
            Where a body that still arrives is read.
        connection : ClientConnection
            Where it goes.

        Returns
        -------
        bool
            False if the connection was lost.
        """
        if self.content is not None:
            if self.content and (await connection.send_data(self.content)).is_err():
                return False
            return (await connection.end_request()).is_ok()
        while (chunk := await source.read_chunk()) is not None:
            if (await connection.send_data(chunk)).is_err():
                return False
        return (await connection.end_request()).is_ok()


async def read_request_body(
    source: ServerExchange, *, max_bytes: int
) -> RequestBody | None:
    """Read a short body whole; leave a long one to be passed on as it arrives.

    Parameters
    ----------
    source : ServerExchange
        The request.
    max_bytes : int
        Longest body to keep whole.

    Returns
    -------
    RequestBody or None
        The body; None if one without declared length is longer than allowed.
    """
    length = find_header(source.headers, b"content-length")
    if length is not None and int(length) > max_bytes:
        return RequestBody(content=None, framing=[(b"content-length", length)])
    has_body = length is not None or _is_chunked(source)
    whole = await source.read_body(max_bytes=max_bytes)
    if whole is None:
        return None
    framing = [(b"content-length", str(len(whole)).encode())] if has_body else []
    return RequestBody(content=whole, framing=framing)


def _is_chunked(source: ServerExchange) -> bool:
    return find_header(source.headers, b"transfer-encoding") is not None
