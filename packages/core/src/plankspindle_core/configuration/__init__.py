"""The versioned configuration that operators change by confirmed plans."""

from __future__ import annotations
