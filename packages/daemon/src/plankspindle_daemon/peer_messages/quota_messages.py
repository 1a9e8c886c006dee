"""Messages by which entry VMs enforce fleet-wide quotas."""

from __future__ import annotations

from plankspindle_core.classes import frozen

NO_UPSTREAM_LIMIT = -1.0
"""Value of ``limit_per_s`` in a request for tokens of a workspace's quota."""


@frozen(kw_only=True)
class ShareClaim:
    """Request a lease of the receiver's share of the quotas.

    Parameters
    ----------
    sender : str
        Name of the VM that is to grant the tokens.
    incarnation : int
        Incarnation of the requesting process.
    sent_ms : int
        Time on the sender's clock; the lease repeats it and is valid from then.
    shards : tuple of int
        Claimed shards of workspaces.
    fleet_size : int
        Number of entry VMs in the sender's view.
    """

    sender: str
    incarnation: int
    sent_ms: int
    shards: tuple[int, ...]
    fleet_size: int


@frozen(kw_only=True)
class ShareLease:
    """Lease the sender's share of some shards to the VM that claimed it.

    Parameters
    ----------
    sender : str
        Name of the VM that leases its share.
    claim_incarnation, claim_sent_ms : int
        ``incarnation`` and ``sent_ms`` of the claim that it answers.
    shards : tuple of int
        Leased shards.
    idle_ms : tuple of int
        For each shard, the time for which its share was not leased to any VM before.
    fleet_size : int
        Number of entry VMs in the sender's view; its share is one part in
        ``fleet_size``.
    """

    sender: str
    claim_incarnation: int
    claim_sent_ms: int
    shards: tuple[int, ...]
    idle_ms: tuple[int, ...]
    fleet_size: int


@frozen(kw_only=True)
class TokenRequest:
    """Request tokens from a holder, one for each caller's request.

    Parameters
    ----------
    sender : str
        Name of the requesting VM.
    request_id : int
        Random id, repeated in the grant.
    workspace : str
        The workspace; for the limit of an upstream, the upstream's incarnation id.
    count : int
        Requested number of tokens.
    limit_per_s : float
        Limit of the upstream, in requests per second; negative for a workspace.
    heard_ago_ms : int
        Age of the answer that announced the limit.
    """

    sender: str
    request_id: int
    workspace: str
    count: int
    limit_per_s: float = NO_UPSTREAM_LIMIT
    heard_ago_ms: int = 0

    @property
    def is_of_limit(self) -> bool:
        """Whether the tokens are for an upstream's limit, not a workspace's quota."""
        return self.limit_per_s >= 0


@frozen(kw_only=True)
class TokenGrant:
    """Grant tokens of a workspace's quota or an upstream's limit.

    Parameters
    ----------
    sender : str
        Name of the holder.
    request_id : int
        Id of the request that it answers.
    workspace : str
        Workspace or incarnation id, as in the request.
    count : int
        Granted number of tokens, at most the requested number.
    retry_after_ms : int
        Time until a token for a denied request is available; zero if all tokens were
        granted.
    has_share : bool
        Whether the sender holds any share of the quota or limit.
    is_of_limit : bool
        Whether the tokens are for an upstream's limit, not a workspace's quota.
    """

    sender: str
    request_id: int
    workspace: str
    count: int
    retry_after_ms: int
    has_share: bool
    is_of_limit: bool = False
