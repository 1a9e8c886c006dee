"""Time for which callers may cache the answer to a lookup."""

from __future__ import annotations

LOOKUP_TTL_S = 5
