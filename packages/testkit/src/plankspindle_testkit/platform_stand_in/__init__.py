"""A small test double of the platform: table service, object store, list of VMs."""

from __future__ import annotations
