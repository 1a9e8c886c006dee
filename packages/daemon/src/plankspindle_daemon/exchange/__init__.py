"""Handling of one request between its caller and an upstream."""

from __future__ import annotations
