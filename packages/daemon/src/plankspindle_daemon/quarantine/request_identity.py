"""Identifies attempts that belong to the same request."""

from __future__ import annotations

from hashlib import blake2b

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.http.headers import HeaderList
from plankspindle_core.http.headers import find_header

DIGEST_BYTES = 8
MAX_PATH_LOGGED = 200


@define(kw_only=True)
class RequestIdentity:
    """Identify a request by its caller and content, independent of the attempt's id.

    Parameters
    ----------
    caller : str, optional
        Name of the caller, if it has an API key.
    method, target : str
        Request line.
    headers : list of (bytes, bytes)
        Headers of the caller, of which only Host is used.
    names_service : bool
        Whether the path names a service; Host is ignored then, since another entry VM
        may have forwarded the request.
    body : bytes, optional
        The complete body if it is buffered; otherwise the declared length is used.

    Notes
    -----
    The service is not part of the identity: a route may move to another service, and
    the request crashes the upstreams of that one, too. The digest is computed on first
    use, so that a request costs nothing while none is suspected and no upstream
    crashes.
    """

    caller: str | None
    method: str
    target: str
    headers: HeaderList = Factory(list)
    names_service: bool = False
    body: bytes | None = None
    _value: int | None = None

    @property
    def value(self) -> int:
        """Digest of 64 bits, the same in every process."""
        if self._value is None:
            self._value = self._digest()
        return self._value

    @property
    def text(self) -> str:
        """The digest as it is written in logs and commands."""
        return identity_text(self.value)

    @property
    def path(self) -> str:
        """Path without its query, truncated for logs."""
        return self.target.partition("?")[0][:MAX_PATH_LOGGED]

    def _digest(self) -> int:
        host = b"" if self.names_service else find_header(self.headers, b"host") or b""
        body = self.body
        if body is None:
            body = find_header(self.headers, b"content-length") or b""
        hasher = blake2b(digest_size=DIGEST_BYTES)
        for part in (
            (self.caller or "").encode(),
            self.method.encode(),
            host.lower(),
            self.target.encode("latin-1"),
            body,
        ):
            hasher.update(len(part).to_bytes(8, "big"))
            hasher.update(part)
        return int.from_bytes(hasher.digest(), "big")


def identity_text(identity: int) -> str:
    """Return an identity as it is written in logs and commands."""
    return f"{identity:016x}"
