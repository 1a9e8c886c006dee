"""Messages by which entry VMs keep quotas over the fleet."""

from __future__ import annotations

from plankspindle_core.classes import frozen

NO_UPSTREAM_LIMIT = -1.0
"""Limit of a request for tokens of a workspace's quota."""


@frozen(kw_only=True)
class ShareClaim:
    """Ask an entry VM for a lease of its share of the quotas.

    Parameters
    ----------
    sender : str
        Name of the VM that wants to hand out tokens.
    incarnation : int
        Process that asks.
    sent_ms : int
        Its clock; the lease repeats it and runs from then.
    shards : tuple of int
        Shards of workspaces that it claims.
    fleet_size : int
        Entry VMs that it knows of.
    """

    sender: str
    incarnation: int
    sent_ms: int
    shards: tuple[int, ...]
    fleet_size: int


@frozen(kw_only=True)
class ShareLease:
    """Lease the own share of some shards to the VM that claimed it.

    Parameters
    ----------
    sender : str
        Name of the VM whose share it is.
    claim_incarnation, claim_sent_ms : int
        The claim that it answers.
    shards : tuple of int
        Shards that are leased.
    idle_ms : tuple of int
        For each of them, the time for which nobody had the share before.
    fleet_size : int
        Entry VMs that the sender knows of; its share is one part in so many.
    """

    sender: str
    claim_incarnation: int
    claim_sent_ms: int
    shards: tuple[int, ...]
    idle_ms: tuple[int, ...]
    fleet_size: int


@frozen(kw_only=True)
class TokenRequest:
    """Ask a holder for tokens, one for each request.

    Parameters
    ----------
    sender : str
        Name of the VM that asks.
    request_id : int
        Random number, repeated in the grant.
    workspace : str
        The workspace; for the limit of an upstream, the life of that.
    count : int
        Tokens wanted.
    limit_per_s : float
        Limit of the upstream, in requests a second; negative for a workspace.
    heard_ago_ms : int
        Age of the answer that named the limit.
    """

    sender: str
    request_id: int
    workspace: str
    count: int
    limit_per_s: float = NO_UPSTREAM_LIMIT
    heard_ago_ms: int = 0

    @property
    def is_of_limit(self) -> bool:
        """Whether tokens for an upstream that names a limit are wanted."""
        return self.limit_per_s >= 0


@frozen(kw_only=True)
class TokenGrant:
    """Give tokens of a workspace or an upstream's limit.

    Parameters
    ----------
    sender : str
        Name of the holder.
    request_id : int
        Of the request it answers.
    workspace : str
        What they are for, as in the request.
    count : int
        Tokens given, as many as were wanted or fewer.
    retry_after_ms : int
        Time until there is one for who got none; zero if all were given.
    has_share : bool
        Whether the sender holds any share of the quota or limit.
    is_of_limit : bool
        Whether they are for an upstream that names a limit.
    """

    sender: str
    request_id: int
    workspace: str
    count: int
    retry_after_ms: int
    has_share: bool
    is_of_limit: bool = False
