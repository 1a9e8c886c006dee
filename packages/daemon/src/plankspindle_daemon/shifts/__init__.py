"""Confirmed shifts, which move a share of a service's requests to another region."""

from __future__ import annotations
