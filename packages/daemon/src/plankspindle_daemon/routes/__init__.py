"""Which service answers the requests for a host and path."""

from __future__ import annotations
