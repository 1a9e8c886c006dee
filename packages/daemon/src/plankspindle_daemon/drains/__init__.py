"""When confirmed drains take effect on VMs and upstreams."""

from __future__ import annotations
