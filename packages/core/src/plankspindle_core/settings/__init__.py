"""Parsing of YAML documents into validated attrs classes."""

from __future__ import annotations
