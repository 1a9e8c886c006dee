"""Decision logic of one entry VM, and the tasks that carry out its effects."""

from __future__ import annotations
