"""Authentication of callers and queueing of requests by priority."""

from __future__ import annotations
