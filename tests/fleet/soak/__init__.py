"""A soak of the daemon as it runs on the fleet's platform."""

from __future__ import annotations
