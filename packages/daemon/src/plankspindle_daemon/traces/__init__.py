"""Traces of single requests: steps are kept in memory and logged on completion."""

from __future__ import annotations
