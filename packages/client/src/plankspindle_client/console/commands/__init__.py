"""Commands of ``plankspindle``, one a module."""

from __future__ import annotations
