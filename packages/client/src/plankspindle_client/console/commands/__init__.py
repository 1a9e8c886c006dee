"""Commands of ``plankspindle``, one per module."""

from __future__ import annotations
