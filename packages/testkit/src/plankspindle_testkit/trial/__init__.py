"""Randomised simulations of the daemon's decision logic, with fakes at its interfaces.

A trial drives the nodes of several entry VMs with a fake clock and a seeded source of
faults. It records the ground truth: what upstreams really ran, and which writes really
took effect.
"""

from __future__ import annotations
