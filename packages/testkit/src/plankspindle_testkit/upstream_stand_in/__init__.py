"""A small stand-in for an upstream."""

from __future__ import annotations
