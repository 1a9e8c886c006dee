"""Placement of waiting requests on upstreams."""

from __future__ import annotations
