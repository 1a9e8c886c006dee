"""What entry VMs of other failure domains say of their load; hints for plans only."""

from __future__ import annotations
