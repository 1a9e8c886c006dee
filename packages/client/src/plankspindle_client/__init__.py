"""Command line for operators."""

from __future__ import annotations
