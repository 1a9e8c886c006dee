"""Reading of the API key that a request carries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from plankspindle_core import header_names
from plankspindle_core.classes import frozen
from plankspindle_core.configuration.caller import hash_api_key

if TYPE_CHECKING:
    from plankspindle_core.http.headers import HeaderList

MAX_CREDENTIALS_BYTES = 1_024


@frozen
class NotAuthenticated:
    """The request has no known API key.

    Parameters
    ----------
    reason : str
        What is wrong or what the caller has to send.
    """

    reason: str


def read_key_digest(
    headers: HeaderList, *, scheme: str
) -> Result[str | None, NotAuthenticated]:
    """Return the digest of the API key of a request, or None if it has none.

    Parameters
    ----------
    headers : list of (bytes, bytes)
        Headers with lower-case names.
    scheme : str
        Authentication scheme of ``Authorization``, compared case-insensitively.

    Notes
    -----
    Only the digest is returned, so that the key itself is never stored or logged.
    """
    values = [value for name, value in headers if name == header_names.AUTHORIZATION]
    if not values:
        return Ok(None)
    if len(values) > 1:
        return Err(NotAuthenticated("send one Authorization header"))
    given, _, key = values[0].strip().partition(b" ")
    key = key.strip()
    if given.lower() != scheme.lower().encode() or not key:
        return Err(NotAuthenticated(f"send the API key as Authorization: {scheme} KEY"))
    if len(key) > MAX_CREDENTIALS_BYTES:
        return Err(NotAuthenticated("this API key is not known"))
    return Ok(hash_api_key(key))
