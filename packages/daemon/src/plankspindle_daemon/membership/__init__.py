"""Which entry VMs there are, and which of them count for slot shares."""

from __future__ import annotations
