"""Benchmarks: real daemons on loopback, and the policy under modelled load."""

from __future__ import annotations
