"""Shared model, settings, logs and HTTP helpers of plankspindle."""

from __future__ import annotations
