"""Reads of the platform that entry VMs of a failure domain share."""

from __future__ import annotations
