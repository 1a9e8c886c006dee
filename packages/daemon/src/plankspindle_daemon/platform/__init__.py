"""Client of the platform: its table service, object store and list of VMs."""

from __future__ import annotations
