"""Commands of ``plankspindled``, one per module."""

from __future__ import annotations
