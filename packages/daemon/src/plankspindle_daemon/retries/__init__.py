"""Limits on retries."""

from __future__ import annotations
