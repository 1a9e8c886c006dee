"""The command line of operators."""

from __future__ import annotations
