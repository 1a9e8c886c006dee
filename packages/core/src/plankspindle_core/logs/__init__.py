"""Structured logs: one line of key=value pairs an event."""

from __future__ import annotations
