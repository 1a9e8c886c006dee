"""Signed tickets of requests that one entry VM relays to another."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from plankspindle_core.classes import frozen
from plankspindle_daemon.versions.configuration_version import ConfigurationVersion

if TYPE_CHECKING:
    from plankspindle_daemon.admission.identity_signer import IdentitySigner

_KIND = "relay"
"""First claim, which tells tickets from identities that the same keys sign."""


@frozen(kw_only=True)
class RelayTicket:
    """What the VM that relays a request has settled about it.

    Parameters
    ----------
    sender : str
        Name of that VM.
    key_digest : str, optional
        Digest of the caller's API key; the key itself is not passed on.
    attempts : int
        Attempts that may still be made.
    is_idempotent : bool
        Whether it may run more than once.
    version : ConfigurationVersion
        Lowest version of the configuration that it may be served by.
    """

    sender: str
    key_digest: str | None
    attempts: int
    is_idempotent: bool
    version: ConfigurationVersion

    def seal(self, signer: IdentitySigner, *, target: str, wall_ms: int) -> bytes:
        """Return the signed form, which is valid for one request target.

        Parameters
        ----------
        signer : IdentitySigner
            Holds the keys of the messages between entry VMs.
        target : str
            Request target.
        wall_ms : int
            Milliseconds since the Unix epoch.
        """
        version = self.version
        claims = [
            _KIND,
            self.sender,
            self.key_digest,
            self.attempts,
            self.is_idempotent,
            [version.revision, version.era, version.number],
        ]
        return signer.sign(json.dumps(claims), target=target, wall_ms=wall_ms)

    @classmethod
    def open(
        cls, sealed: bytes, signer: IdentitySigner, *, target: str, wall_ms: int
    ) -> RelayTicket | None:
        """Return the ticket in a signed form; None if that is not valid."""
        text = signer.verify(sealed, target=target, wall_ms=wall_ms)
        if text is None or not text.startswith(f'["{_KIND}"'):
            return None
        _, sender, key_digest, attempts, is_idempotent, version = json.loads(text)
        revision, era, number = version
        return cls(
            sender=sender,
            key_digest=key_digest,
            attempts=attempts,
            is_idempotent=is_idempotent,
            version=ConfigurationVersion(revision=revision, era=era, number=number),
        )
