"""Slot limits, health and choice of upstreams."""

from __future__ import annotations
