"""How strictly quotas are kept."""

from __future__ import annotations

from plankspindle_core.classes import frozen

LEASE_S = 1.0
"""Life of a leased share.

What is out when a holder dies comes back after this, and a process that starts waits as
long for the leases of the one before it to end.
"""
CLAIM_PERIOD_S = 0.4
"""Period of renewing leases; a claim may be lost."""
FIRST_CLAIM_PERIOD_S = 0.15
"""Period of claims while VMs of the region have not leased their share yet."""
SHARDS = 4
"""Parts into which workspaces are divided among the holders of a region."""


@frozen(kw_only=True)
class QuotaOptions:
    """Bounds of the quotas of one fleet.

    Parameters
    ----------
    slack_requests : float
        Requests that a workspace may send beyond its burst, shared by the fleet. They
        make up for tokens that lie where no request comes.
    process_started_at : float, optional
        When the process began, if that was before the node was made, monotonic seconds.
    """

    slack_requests: float = 0.0
    process_started_at: float | None = None
