"""Mapping of host and path to a service."""

from __future__ import annotations
