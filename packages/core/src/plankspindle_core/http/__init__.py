"""HTTP/1.1 over curio sockets, with h11 on both sides."""

from __future__ import annotations
