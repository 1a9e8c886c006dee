"""Headers of forwarded requests."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from plankspindle_core.classes import frozen
from plankspindle_core.http.server_exchange import ServerExchange
from plankspindle_daemon.admission.caller_directory import Identity
from plankspindle_daemon.admission.identity_signer import IdentitySigner
from plankspindle_daemon.exchange.caller_request import headers_for_peer
from plankspindle_daemon.exchange.caller_request import headers_for_relay
from plankspindle_daemon.exchange.caller_request import headers_for_upstream
from plankspindle_daemon.exchange.caller_request import passthrough_headers
from plankspindle_daemon.exchange.dialect import Dialect
from plankspindle_daemon.exchange.messages import ToPeer

if TYPE_CHECKING:
    from plankspindle_core.http.headers import HeaderList
    from plankspindle_daemon.exchange.messages import Route


@frozen(kw_only=True)
class OutgoingHeaders:
    """Headers that name the caller to upstreams and other VMs, without its API key.

    Parameters
    ----------
    source : ServerExchange
        The exchange with the caller.
    identity : Identity
        The caller; may be anonymous.
    dialect : Dialect
        Header names.
    signer : IdentitySigner
        Signs the identity for other entry VMs.
    is_relayed : bool
        Whether another entry VM relayed the request to this one.
    """

    source: ServerExchange
    identity: Identity
    dialect: Dialect
    signer: IdentitySigner
    is_relayed: bool = False

    def for_upstream(self) -> HeaderList:
        """Return the headers for an upstream, without framing and deadline."""
        identity, headers = self.identity, self.source.headers
        if self.dialect.passes_headers_through:
            return passthrough_headers(
                headers, dialect=self.dialect, workspace=identity.workspace
            )
        return headers_for_upstream(
            headers,
            caller=identity.caller,
            workspace=identity.workspace,
            peer_host=None if self.is_relayed else self.source.peer_host,
        )

    def for_relay(self) -> HeaderList:
        """Return the headers for a VM that serves for this one, without its ticket."""
        return headers_for_relay(
            self.source.headers, dialect=self.dialect, peer_host=self.source.peer_host
        )

    def for_peer(self, route: Route, *, grant: int | None) -> HeaderList:
        """Return the headers for another entry VM, signed if the route leads to one."""
        token = None
        if self.identity.caller is not None and isinstance(route, ToPeer):
            token = self.signer.sign(
                self.identity.caller,
                target=self.source.target,
                wall_ms=int(time.time() * 1000),
            )
        return headers_for_peer(self.source.headers, grant=grant, signed_identity=token)
