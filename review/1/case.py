"""A route is added whose prefix is the product's own; its requests run elsewhere."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from stand_ins import BOUNDS  # noqa: E402
from stand_ins import configuration  # noqa: E402
from stand_ins import path  # noqa: E402
from stand_ins import run  # noqa: E402

HOST = "plates.example"
SERVICES = ["registry", "documents"]
TENANTS = [
    {"name": "dealer-a", "api_keys": ["key-of-dealer-a"]},
    {"name": "dealer-b", "api_keys": ["key-of-dealer-b"]},
]
SITE_BOUNDS = {
    **BOUNDS, "ack": "6000ms", "catch_up": "6s", "drain": "3000ms",
    "config_apply": "3000ms", "budget_slack": 174, "cold_slack": 8,
    "strict_revoke": False, "revoke": "5000ms", "quota_window": "5s",
    "quota_overage": 0.1, "quota_slack": 20,
}
"""Bounds of the site evidka-gslb-now-grown."""
CONFIG_APPLY_S, CONTACT_S = 3.0, 4.0


async def scenario(deployment) -> list[str] | None:
    for zone in ("zone-a", "zone-b", "zone-c"):
        for service in SERVICES:
            deployment.add_backend(service, zone)
    orders = path("r-orders", "/orders/", "registry", type="non_idempotent")
    first = configuration(1, {HOST: [orders]}, SERVICES, tenants=TENANTS)
    await deployment.start(first)
    if not await deployment.wait_ready():
        return None
    prefix = "/v1/services/" if deployment.is_troubled else "/v1/catalogue/"
    added = path("r-added", prefix, "registry", type="non_idempotent")
    second = configuration(2, {HOST: [orders, added]}, SERVICES, tenants=TENANTS)
    deployment.put_configuration(second)
    await asyncio.sleep(CONFIG_APPLY_S + CONTACT_S)
    sent: dict[str, tuple[str, str, int]] = {}
    for vm in deployment.vms:
        for method, target, body in (
            ("POST", "/orders/new", b"plate=BA123AB"),
            ("POST", f"{prefix}documents/reservations", b"plate=BA123AB"),
            ("DELETE", f"{prefix}documents/reservations/7", b""),
            ("GET", f"{prefix}documents", b""),
        ):
            request_id = f"q{len(sent):04d}"
            sent[request_id] = (method, target, len(body))
            await deployment.ask(
                vm, method, target, host=HOST, request_id=request_id, body=body,
                headers={"Authorization": "Token key-of-dealer-a"},
            )
    return [
        f"{run['id']}: sent as {sent[run['id']]} on a route to registry, ran as "
        f"{(run['method'], run['target'], int(run['bytes']))} at {run['service']}"
        for backend in deployment.backends
        for run in backend.runs
        if (run["method"], run["target"], int(run["bytes"])) != sent[run["id"]]
    ]


run(scenario, HERE, bounds=SITE_BOUNDS)
