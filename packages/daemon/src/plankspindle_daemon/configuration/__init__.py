"""Adoption of configuration versions by a daemon."""

from __future__ import annotations
