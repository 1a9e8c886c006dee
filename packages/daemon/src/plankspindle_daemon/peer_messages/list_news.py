"""Updates that a reader of the platform's list sends to its failure domain."""

from __future__ import annotations

from plankspindle_core.classes import frozen
from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.versions.configuration_version import ConfigurationVersion
from plankspindle_daemon.versions.store_version import StoreVersion


@frozen(kw_only=True)
class ToldUpstream:
    """An upstream of the platform's list, as sent to other entry VMs.

    Parameters
    ----------
    name, service, failure_domain : str
        Declaration of the upstream.
    endpoint : Endpoint
        Address that requests are sent to.
    slots : int
        Requests that the upstream may run at once.
    leaving : bool
        Whether it is leaving.
    cold_ms : int
        Time for which it stays cold, from the sending of the message.
    incarnation : int
        Incarnation number; zero if the platform does not report it.
    sequence : int
        Sequence number of the entry; zero if it is not known.
    software_version : str
        Version of the program that it runs; empty if it is not known.
    """

    name: str
    service: str
    failure_domain: str
    endpoint: Endpoint
    slots: int
    leaving: bool
    cold_ms: int
    incarnation: int = 0
    sequence: int = 0
    software_version: str = ""


@frozen(kw_only=True)
class ListNews:
    """Age of a reader's data, and the changes in the platform's list.

    Parameters
    ----------
    sender : str
        Name of the reader.
    bases : tuple of int
        Spans of list versions that the changes can be applied to, as numbers of the
        first and last version of each span in turn.
    base_era : int
        Era of the store that those numbers belong to.
    version : StoreVersion
        Version of the list that the reader has.
    list_age_ms, configuration_age_ms : int
        Time since the reader read the list and the configuration.
    configuration_version : ConfigurationVersion
        Configuration version that the reader has in force.
    after_gap : bool
        Whether entries may be missing because the platform was unavailable.
    keep_ms : int
        Time for which missing entries are retained in that case, from the sending of
        the message; zero if the reader does not report it.
    changed : tuple of ToldUpstream
        Upstreams that are new or have changed.
    gone : tuple of str
        Names of upstreams that are no longer listed.
    part, parts : int
        Index from 0, and number of the messages that carry the change together.
    """

    sender: str
    bases: tuple[int, ...]
    base_era: int
    version: StoreVersion
    list_age_ms: int
    configuration_age_ms: int
    configuration_version: ConfigurationVersion
    after_gap: bool = False
    keep_ms: int = 0
    changed: tuple[ToldUpstream, ...] = ()
    gone: tuple[str, ...] = ()
    part: int = 0
    parts: int = 1
