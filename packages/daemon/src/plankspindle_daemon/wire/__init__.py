"""Messages between entry VMs: Cap'n Proto in authenticated UDP frames."""

from __future__ import annotations
