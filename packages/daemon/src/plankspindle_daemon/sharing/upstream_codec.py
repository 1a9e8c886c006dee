"""Conversion of the list's upstreams to and from messages."""

from __future__ import annotations

from plankspindle_core.configuration.upstream import Upstream
from plankspindle_daemon.peer_messages.list_news import ToldUpstream
from plankspindle_daemon.platform.live_list import ListedVm
from plankspindle_daemon.platform.live_list import VmKind


def encode_upstream(listed: ListedVm, now: float) -> ToldUpstream:
    """Encode an upstream of the list; its cold period as the time that remains.

    A planned time of leaving is not encoded: lists with versions have none.
    """
    declared = listed.upstream
    assert declared is not None
    return ToldUpstream(
        name=listed.name,
        service=declared.service,
        failure_domain=listed.failure_domain,
        endpoint=declared.endpoint,
        slots=declared.slots,
        leaving=listed.leaving,
        cold_ms=max(0, round(1000 * (listed.cold_until - now))),
        incarnation=listed.incarnation,
        sequence=listed.sequence,
        software_version=declared.software_version,
    )


def decode_upstream(encoded: ToldUpstream, now: float) -> ListedVm:
    """Decode an upstream to an entry as read from the list."""
    return ListedVm(
        name=encoded.name,
        kind=VmKind.UPSTREAM,
        failure_domain=encoded.failure_domain,
        leaving=encoded.leaving,
        upstream=Upstream(
            service=encoded.service,
            failure_domain=encoded.failure_domain,
            endpoint=encoded.endpoint,
            slots=encoded.slots,
            software_version=encoded.software_version,
        ),
        cold_until=now + encoded.cold_ms / 1000,
        incarnation=encoded.incarnation,
        sequence=encoded.sequence,
    )
