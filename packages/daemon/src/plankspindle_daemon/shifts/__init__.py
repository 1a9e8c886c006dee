"""Confirmed shifts of part of a service's requests to another region."""

from __future__ import annotations
