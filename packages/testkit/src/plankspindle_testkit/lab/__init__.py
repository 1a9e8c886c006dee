"""Simulation lab: real dispatchers of many entry VMs on one simulated clock."""

from __future__ import annotations
