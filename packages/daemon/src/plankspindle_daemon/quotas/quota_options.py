"""Options and timing of quotas."""

from __future__ import annotations

from plankspindle_core.classes import frozen

LEASE_S = 1.0
"""Duration of the lease of a share, in seconds.

Shares that a holder had when it died are available again after this time. A process
that starts waits as long for the leases of its previous incarnation to end.
"""
CLAIM_PERIOD_S = 0.4
"""Period of renewing leases, in seconds; short enough that a claim may be lost."""
FIRST_CLAIM_PERIOD_S = 0.15
"""Period of claims until all VMs of the region have leased their share, in seconds."""
SHARDS = 4
"""Number of shards of workspaces, which are divided among the holders of a region."""


@frozen(kw_only=True)
class QuotaOptions:
    """Options of the quotas of one fleet.

    Parameters
    ----------
    slack_requests : float
        Requests that a workspace may send beyond its burst, shared by the fleet. They
        make up for tokens held by VMs that get no requests.
    process_started_at : float, optional
        When the process started, if earlier than the node was created, monotonic
        seconds.
    """

    slack_requests: float = 0.0
    process_started_at: float | None = None
