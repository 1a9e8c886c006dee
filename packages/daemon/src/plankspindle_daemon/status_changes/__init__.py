"""What this VM believes of others, and how that changes."""

from __future__ import annotations
