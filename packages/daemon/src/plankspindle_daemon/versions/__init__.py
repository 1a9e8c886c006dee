"""Order of what is read from the platform's store, across its returns from a copy."""

from __future__ import annotations
