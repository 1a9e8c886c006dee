"""Fingerprint of a request, to detect another request with the same key."""

from __future__ import annotations

import hashlib

from plankspindle_core.classes import frozen


@frozen(kw_only=True)
class Fingerprint:
    """Caller and digest of a request.

    Parameters
    ----------
    caller : str
        Name of the caller; empty if it has no API key.
    digest : str
        SHA-256 over service, method, path and body, in hexadecimal.
    """

    caller: str
    digest: str


def fingerprint_of(
    *, caller: str | None, service: str, method: str, path: str, body: bytes
) -> Fingerprint:
    """Compute the fingerprint of a request.

    Parameters
    ----------
    caller : str, optional
        Name of the caller, if it has an API key.
    service, method, path : str
        Requested service, method and path.
    body : bytes
        Complete request body.

    Returns
    -------
    Fingerprint
        Fingerprint, equal only for repeats of the same request.
    """
    hasher = hashlib.sha256()
    for part in (service.encode(), method.encode(), path.encode("latin-1"), body):
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return Fingerprint(caller=caller or "", digest=hasher.hexdigest())
