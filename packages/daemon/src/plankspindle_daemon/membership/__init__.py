"""The set of live entry VMs, and which of them count for slot shares."""

from __future__ import annotations
