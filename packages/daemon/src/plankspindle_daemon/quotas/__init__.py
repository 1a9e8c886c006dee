"""Quotas of workspaces, kept over all entry VMs together."""
