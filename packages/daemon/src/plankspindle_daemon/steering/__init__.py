"""Selection of the entry VMs that a caller should use."""

from __future__ import annotations
