"""Load digests that entry VMs send to other failure domains."""

from __future__ import annotations

from plankspindle_core.classes import frozen
from plankspindle_daemon.versions.configuration_version import ConfigurationVersion


@frozen(kw_only=True)
class ServiceLoad:
    """Load of one service on one entry VM.

    Parameters
    ----------
    service : str
        Name of the service.
    capacity : int
        Requests that may run at once.
    in_flight, queued : int
        Numbers of running and of queued requests.
    """

    service: str
    capacity: int
    in_flight: int
    queued: int


@frozen(kw_only=True)
class LoadDigest:
    """Load of one entry VM.

    Parameters
    ----------
    sender : str
        Name of the sending VM.
    failure_domain : str
        Failure domain that the VM is located in.
    configuration_version : ConfigurationVersion
        Configuration version in force.
    loads : tuple of ServiceLoad
        One entry per service.
    """

    sender: str
    failure_domain: str
    configuration_version: ConfigurationVersion
    loads: tuple[ServiceLoad, ...]
