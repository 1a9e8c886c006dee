"""Grants of headroom to entry VMs of other failure domains."""

from __future__ import annotations
