"""Load digests of entry VMs in all failure domains, used for plans and status only."""

from __future__ import annotations
