"""Operators' plans: forecast of the effects of a change, and its confirmation."""

from __future__ import annotations
