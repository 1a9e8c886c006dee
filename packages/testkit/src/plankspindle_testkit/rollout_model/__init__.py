"""Model of a roll-out's counts, for the operating characteristics of its judgement."""

from __future__ import annotations
