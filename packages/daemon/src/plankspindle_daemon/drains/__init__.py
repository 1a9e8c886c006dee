"""Times at which confirmed drains take effect on entry VMs and upstreams."""

from __future__ import annotations
