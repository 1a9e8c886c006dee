"""Soak tests: real daemons under injected faults, with guarantees checked meanwhile."""

from __future__ import annotations
