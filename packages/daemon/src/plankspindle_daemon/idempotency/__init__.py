"""Requests that must not repeat run at most once."""

from __future__ import annotations
