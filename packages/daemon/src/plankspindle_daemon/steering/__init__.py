"""Which entry VMs a caller should use."""

from __future__ import annotations
