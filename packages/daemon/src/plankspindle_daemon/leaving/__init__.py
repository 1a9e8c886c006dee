"""Graceful shutdown of an entry VM."""

from __future__ import annotations
