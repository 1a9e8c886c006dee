"""The command ``plankspindled``."""

from __future__ import annotations
