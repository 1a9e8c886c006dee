"""Randomised trials of the daemon's decision machines, with fakes at their interfaces.

A trial drives the machines of several entry VMs with a fake clock and a seeded source
of faults. It holds the truth: what upstreams really ran, which writes really took
effect.
"""

from __future__ import annotations
