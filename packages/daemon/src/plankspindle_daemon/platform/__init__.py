"""Access to the platform's table service, object store and list of VMs."""

from __future__ import annotations
