"""Requests under which upstreams end, held back at all entry VMs."""

from __future__ import annotations
