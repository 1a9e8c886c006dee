"""Hand-over of a caller's identity to another entry VM, without its API key."""

from __future__ import annotations

import base64
import hmac
import json

from plankspindle_core.classes import frozen

MAX_TOKEN_AGE_MS = 10_000
"""Time for which a sealed identity is accepted; clocks of VMs may differ by seconds."""


@frozen(kw_only=True)
class IdentitySigner:
    """Seal who sends a request, so that an entry VM which it is moved to believes it.

    Parameters
    ----------
    keys : list of bytes
        Keys of the messages between entry VMs: the first signs, each is accepted.
    """

    keys: list[bytes]

    def sign(self, name: str, *, target: str, wall_ms: int) -> bytes:
        """Seal the name of a caller for one request target.

        Parameters
        ----------
        name : str
            Name of the caller or workspace.
        target : str
            Request target, for which alone it holds.
        wall_ms : int
            Milliseconds since the Unix epoch.
        """
        stated = json.dumps([name, target, wall_ms]).encode()
        mac = hmac.digest(self.keys[0], stated, "sha256")
        return b".".join(map(base64.urlsafe_b64encode, (stated, mac)))

    def verify(self, token: bytes, *, target: str, wall_ms: int) -> str | None:
        """Give the name that an entry VM sealed; None if it did not, or long ago."""
        stated, _, mac = token.partition(b".")
        try:
            stated, mac = map(base64.urlsafe_b64decode, (stated, mac))
        except ValueError:
            return None
        if not any(
            hmac.compare_digest(mac, hmac.digest(key, stated, "sha256"))
            for key in self.keys
        ):
            return None
        name, wanted, sealed_ms = json.loads(stated)
        if wanted != target or abs(wall_ms - sealed_ms) > MAX_TOKEN_AGE_MS:
            return None
        return str(name)
