"""Status of VMs, upstreams and platform as observed by this VM, and its changes."""

from __future__ import annotations
