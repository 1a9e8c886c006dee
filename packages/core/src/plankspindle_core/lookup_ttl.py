"""Time for which callers may keep the answer to a look-up."""

from __future__ import annotations

LOOKUP_TTL_S = 5
