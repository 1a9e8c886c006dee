"""HTTP listeners for callers and for operators."""

from __future__ import annotations
