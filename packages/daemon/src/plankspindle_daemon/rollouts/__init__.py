"""Roll-outs: a service's requests move to another version of its software."""

from __future__ import annotations
