"""Explanation of what happened to one request, from the logs of entry VMs."""

from __future__ import annotations
