"""Settings of all tests: hypothesis gives the same verdict every time."""

from __future__ import annotations

from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=100)
settings.load_profile("fixed")
