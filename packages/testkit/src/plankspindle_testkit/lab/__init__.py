"""A lab for decisions: real dispatchers of many entry VMs on one fake clock."""

from __future__ import annotations
