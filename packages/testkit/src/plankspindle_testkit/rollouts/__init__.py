"""Checks of roll-outs of software versions, from what callers and upstreams saw."""

from __future__ import annotations
