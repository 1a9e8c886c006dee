"""Bringing waiting requests and free upstreams together."""

from __future__ import annotations
