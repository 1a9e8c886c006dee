"""What happened to single requests, kept until they end and then logged."""

from __future__ import annotations
