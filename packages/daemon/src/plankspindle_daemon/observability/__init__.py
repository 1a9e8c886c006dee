"""Metrics and the state dump of a daemon."""

from __future__ import annotations
