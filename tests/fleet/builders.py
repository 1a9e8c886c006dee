"""Builders of the platform's documents and rows for tests."""

from __future__ import annotations

import base64
import json
from pathlib import Path
from typing import Any

from plankspindle_daemon.versions.store_version import StoreVersion
from plankspindle_platform.boot_settings import BootSettings
from plankspindle_platform.boot_settings import read_boot_settings
from plankspindle_platform.stored_rows import RowSnapshot
from plankspindle_platform.stored_rows import StoredRow

BOOT = Path(__file__).with_name("boot.yaml")
CONTACT_S = 4.0
"""Time after a disturbance from which the bounds apply, as in ``boot.yaml``."""


def build_boot(monkeypatch: Any, path: Path = BOOT) -> BootSettings:
    """Read the settings file of the tests."""
    monkeypatch.setenv("PLANKSPINDLE_PEER_KEY", "00" * 16)
    return read_boot_settings(path)


def build_operator_document(**fields: Any) -> dict[str, Any]:
    """Build an operator's document with one host, two services and one route."""
    document = {
        "config_version": "00000007",
        "services": [
            {
                "name": "desk",
                "health_check": "/up",
                "max_connections": 10,
                "cold_start": "3s",
                "cold_per_s": 14.0,
            },
            {"name": "vault"},
        ],
        "hosts": [{"host": "Desk.example", "paths": [build_path()]}],
    }
    return {**document, **fields}


def build_path(**fields: Any) -> dict[str, Any]:
    """Build one route of an operator's document."""
    path = {
        "name": "r1",
        "path_prefix": "/plates/",
        "type": "idempotent",
        "timeout": "1500ms",
        "target_latency": "0.4s",
        "priority": 2,
        "service": "desk",
        "max_attempts": 2,
        "session_affinity": True,
        "home_regions": [],
    }
    return {**path, **fields}


def build_row(key: str, version: int, document: Any) -> StoredRow:
    """Build a row; a document of None stands for a removed row."""
    value = None if document is None else json.dumps(document).encode()
    return StoredRow(key=key, version=version, value=value)


def build_rows(*rows: StoredRow, version: int, era: int = 0) -> RowSnapshot:
    """Build a parsed answer of the store."""
    return RowSnapshot(rows=rows, version=StoreVersion(era=era, number=version))


def wire_row(row: StoredRow) -> dict[str, Any]:
    """Return a row as the store sends it."""
    fields_sent: dict[str, Any] = {"tls_key": row.key, "schema_version": row.version}
    if row.value is None:
        return {**fields_sent, "tombstone": True}
    return {**fields_sent, "value": base64.b64encode(row.value).decode()}
