"""Plans of operators: what a change moves, and its confirmation."""

from __future__ import annotations
