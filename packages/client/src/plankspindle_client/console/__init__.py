"""The command ``plankspindle``."""

from __future__ import annotations
