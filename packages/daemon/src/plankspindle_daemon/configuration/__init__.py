"""Reading, distribution and freshness of configuration versions."""

from __future__ import annotations
