"""Reading of YAML documents into checked attrs classes."""

from __future__ import annotations
