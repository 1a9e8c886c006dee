"""Settings of one daemon process."""

from __future__ import annotations
