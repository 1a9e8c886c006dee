"""Stand-ins, builders, demo and benchmarks; no part of the product's processes."""

from __future__ import annotations
