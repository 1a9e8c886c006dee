"""What makes two tries the same request."""

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
    """Tell a request by who asks for what, whatever id its tries carry.

    Parameters
    ----------
    caller : str, optional
        Name of the caller, if it has an API key.
    method, target : str
        Request line.
    headers : list of (bytes, bytes)
        Headers of the caller; of them only the host counts, and that not for paths that
        name a service: another entry VM may have passed the request on.
    body : bytes, optional
        Its body, if that is at hand whole; otherwise its declared length counts.

    Notes
    -----
    The service is no part of it: a route may move to another one, and the request
    crashes that one's upstreams, too. The digest is made once it is needed, so that a
    request costs nothing while none is suspected and no upstream ends.
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
        """The digest as logs and commands name it."""
        return identity_text(self.value)

    @property
    def path(self) -> str:
        """Path without its query, as far as logs show it."""
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
    """Write an identity as logs and commands name it."""
    return f"{identity:016x}"
