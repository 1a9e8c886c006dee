"""Command line of ``plankspindled``."""

from __future__ import annotations
