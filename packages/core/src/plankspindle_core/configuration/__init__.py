"""The versioned configuration, which operators change through confirmed plans."""

from __future__ import annotations
