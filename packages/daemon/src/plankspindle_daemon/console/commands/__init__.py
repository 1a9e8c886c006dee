"""Commands of ``plankspindled``, one a module."""

from __future__ import annotations
