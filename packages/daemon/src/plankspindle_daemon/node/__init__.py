"""The decision machines of one entry VM, put together."""

from __future__ import annotations
