"""Sharing of platform reads between the entry VMs of a failure domain."""

from __future__ import annotations
