"""Who a caller is, and in which order requests are served."""

from __future__ import annotations
