"""Messages between entry VMs, of all slices."""

from __future__ import annotations
