"""Contents and receivers of the load digest of this entry VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_daemon.peer_messages.load_digest import ServiceLoad

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from random import Random

    from plankspindle_core.endpoint import Endpoint
    from plankspindle_daemon.dispatch.dispatcher import Dispatcher
    from plankspindle_daemon.platform.live_list import ListedVm

MAX_SERVICES = 16
"""Maximum number of services in a digest, so that it fits into one frame."""


def sum_loads(
    dispatchers_by_service: Mapping[str, Dispatcher], now: float
) -> tuple[ServiceLoad, ...]:
    """Return the load of each service on this VM, at most ``MAX_SERVICES``."""
    loads = [
        ServiceLoad(
            service=service,
            capacity=dispatcher.capacity(now),
            in_flight=dispatcher.in_flight(),
            queued=len(dispatcher.queue),
        )
        for service, dispatcher in sorted(dispatchers_by_service.items())
    ]
    return tuple(loads[:MAX_SERVICES])


def one_vm_per_domain(
    listed: Iterable[ListedVm], *, own_name: str, random: Random
) -> list[Endpoint]:
    """Choose one other entry VM of each failure domain.

    Parameters
    ----------
    listed : iterable of ListedVm
        Entry VMs in the platform's list.
    own_name : str
        Name of this VM.
    random : Random
        Source of the choices.

    Returns
    -------
    list of Endpoint
        Peer endpoints, sorted by failure domain.
    """
    endpoints_by_domain: dict[str, list[Endpoint]] = {}
    for vm in listed:
        if vm.peer_endpoint is not None and vm.name != own_name:
            endpoints = endpoints_by_domain.setdefault(vm.failure_domain, [])
            endpoints.append(vm.peer_endpoint)
    return [
        random.choice(sorted(endpoints))
        for _, endpoints in sorted(endpoints_by_domain.items())
    ]
