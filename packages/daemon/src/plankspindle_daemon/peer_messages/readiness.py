"""Readiness of an entry VM."""

from __future__ import annotations

from enum import Enum


class Readiness(Enum):
    """What an entry VM says of itself in its heartbeats."""

    STARTING = "starting"
    READY = "ready"
    OVERLOADED = "overloaded"
    LEAVING = "leaving"
    LEFT = "left"
