"""A small test double of an upstream."""

from __future__ import annotations
