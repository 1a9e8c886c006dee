"""Helpers for header lists in the format of h11."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

HeaderList = list[tuple[bytes, bytes]]

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers that apply to one connection only, RFC 9110 section 7.6.1."""
END_TO_END = frozenset({b"host", b"content-length"})
"""Headers kept even if ``Connection`` lists them: removing one changes the request."""


def as_header_list(headers: Iterable[tuple[bytes, bytes]]) -> HeaderList:
    """Copy headers returned by h11, which may be views of its buffers."""
    return [(bytes(key), bytes(value)) for key, value in headers]


def find_header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the first value of a header, or None.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Headers with lower-case names.
    name : bytes
        Lower-case name.
    """
    for key, value in headers:
        if key == name:
            return value
    return None


def without_hop_by_hop(headers: Iterable[tuple[bytes, bytes]]) -> HeaderList:
    """Remove hop-by-hop headers, including those listed in ``Connection``."""
    listed = list(headers)
    named = {
        token.strip().lower()
        for key, value in listed
        if key == b"connection"
        for token in value.split(b",")
    }
    dropped = HOP_BY_HOP | (named - END_TO_END)
    return [(key, value) for key, value in listed if key not in dropped]
