"""Builders of parts of a soak for tests."""

from __future__ import annotations

from random import Random

from soak.checks import Checks
from soak.history import Disturbances
from soak.history import History
from soak.history import Version
from soak.layout import Bounds
from soak.layout import Layout
from soak.rollout_injector import RolloutInjector
from soak.soak_store import SoakStore
from soak.upstreams import Upstreams

DRAIN_S = 0.05
ROUTES = {"/m0/": "desk", "/m1/": "vault", "/m2/": "press"}


def build_rollout_injector(first_port: int) -> RolloutInjector:
    """Build an injector with one upstream of each service in each zone."""
    store, bounds = SoakStore(Random(1)), Bounds.of_seed(0)
    history = History(random=Random(1))
    history.versions.append(Version(service_by_prefix=ROUTES, sent_at=0.0, acked_at=0))
    checks = Checks(
        bounds=bounds,
        history=history,
        disturbances=Disturbances(contact_s=bounds.contact),
    )
    upstreams = Upstreams(
        layout=Layout(vms=1, first_port=first_port),
        store=store,
        random=Random(1),
        drain_s=DRAIN_S,
        per_service_and_zone=1,
    )
    return RolloutInjector(store=store, upstreams=upstreams, checks=checks, seed=1)
