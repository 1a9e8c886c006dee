"""The daemon that runs on every entry VM."""

from __future__ import annotations
