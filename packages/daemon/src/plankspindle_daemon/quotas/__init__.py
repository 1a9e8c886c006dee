"""Quotas of workspaces and limits of upstreams, enforced over all entry VMs."""
