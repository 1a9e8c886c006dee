"""Quarantine, at all entry VMs, of requests that crash upstreams."""

from __future__ import annotations
