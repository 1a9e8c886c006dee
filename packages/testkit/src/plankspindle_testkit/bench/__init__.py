"""Benchmarks of real daemons on loopback, and of policies under simulated load."""

from __future__ import annotations
