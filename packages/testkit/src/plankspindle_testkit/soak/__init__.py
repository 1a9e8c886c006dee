"""A soak: real daemons under faults from outside, and promises checked meanwhile."""

from __future__ import annotations
