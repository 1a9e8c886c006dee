"""Signed transfer of a caller's identity to another entry VM, without its API key."""

from __future__ import annotations

import base64
import hmac
import json

from plankspindle_core.classes import frozen

MAX_TOKEN_AGE_MS = 10_000
"""Maximum age of a signed identity; clocks of VMs may differ by seconds."""


@frozen(kw_only=True)
class IdentitySigner:
    """Sign the sender of a request, so that the entry VM it is moved to accepts it.

    Parameters
    ----------
    keys : list of bytes
        Keys of the messages between entry VMs: the first signs, all are accepted.
    """

    keys: list[bytes]

    def sign(self, name: str, *, target: str, wall_ms: int) -> bytes:
        """Return a token with the name of a caller for one request target.

        Parameters
        ----------
        name : str
            Name of the caller or workspace.
        target : str
            Request target; the token is valid for it alone.
        wall_ms : int
            Milliseconds since the Unix epoch.
        """
        claims = json.dumps([name, target, wall_ms]).encode()
        mac = hmac.digest(self.keys[0], claims, "sha256")
        return b".".join(map(base64.urlsafe_b64encode, (claims, mac)))

    def verify(self, token: bytes, *, target: str, wall_ms: int) -> str | None:
        """Return the name in a token; None if the token is not valid.

        A token is valid if a known key signed it for this target within the last
        ``MAX_TOKEN_AGE_MS``.
        """
        claims, _, mac = token.partition(b".")
        try:
            claims, mac = map(base64.urlsafe_b64decode, (claims, mac))
        except ValueError:
            return None
        if not any(
            hmac.compare_digest(mac, hmac.digest(key, claims, "sha256"))
            for key in self.keys
        ):
            return None
        name, signed_target, signed_ms = json.loads(claims)
        if signed_target != target or abs(wall_ms - signed_ms) > MAX_TOKEN_AGE_MS:
            return None
        return str(name)
