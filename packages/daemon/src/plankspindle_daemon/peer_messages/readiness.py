"""Readiness of an entry VM."""

from __future__ import annotations

from enum import Enum


class Readiness(Enum):
    """Readiness that an entry VM announces in its heartbeats."""

    STARTING = "starting"
    READY = "ready"
    OVERLOADED = "overloaded"
    LEAVING = "leaving"
    LEFT = "left"
