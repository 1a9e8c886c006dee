"""Issued ids and idempotency keys, with which requests run at most once."""

from __future__ import annotations
