"""Settings of all tests: hypothesis uses the same examples in every run."""

from __future__ import annotations

from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=100)
settings.load_profile("fixed")
