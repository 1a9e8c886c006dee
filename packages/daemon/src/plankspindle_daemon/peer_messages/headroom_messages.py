"""Messages by which entry VMs of different failure domains grant headroom."""

from __future__ import annotations

from plankspindle_core.classes import frozen


@frozen(kw_only=True)
class HeadroomRequest:
    """Request permission to move requests of a service to the receiver.

    Parameters
    ----------
    sender : str
        Name of the requesting VM.
    request_id : int
        Random id, repeated in the grant and in the requests moved under it.
    service : str
        Name of the service.
    count : int
        Requested number of concurrent requests.
    duration_ms : int
        Requested duration of the grant.
    incarnation : int
        Incarnation of the requesting process.
    """

    sender: str
    request_id: int
    service: str
    count: int
    duration_ms: int
    incarnation: int


@frozen(kw_only=True)
class HeadroomGrant:
    """Permit the receiver to move requests to the sender for a limited time.

    Parameters
    ----------
    sender : str
        Name of the granting VM.
    request_id : int
        Id of the request that it answers.
    service : str
        Name of the service.
    count : int
        Requests that may run on the sender concurrently under the grant.
    duration_ms : int
        Validity of the grant, counted by the receiver from the sending of its request.
    holder_incarnation : int
        Incarnation of the only process that may use the grant.
    """

    sender: str
    request_id: int
    service: str
    count: int
    duration_ms: int
    holder_incarnation: int
