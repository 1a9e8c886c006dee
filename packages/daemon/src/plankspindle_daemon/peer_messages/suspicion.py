"""Message that reports entry VMs whose heartbeats a watcher no longer receives."""

from __future__ import annotations

from plankspindle_core.classes import frozen


@frozen(kw_only=True)
class Suspect:
    """An entry VM that is suspected to have failed.

    Parameters
    ----------
    name : str
        Name of the VM.
    incarnation : int
        Incarnation of the suspected process.
    sequence : int
        Sequence number of its last received heartbeat; a newer heartbeat refutes the
        suspicion.
    """

    name: str
    incarnation: int
    sequence: int


@frozen(kw_only=True)
class Suspicion:
    """Entry VMs whose heartbeats one of their watchers no longer receives.

    Parameters
    ----------
    sender : str
        Name of the watcher.
    suspects : tuple of Suspect
        The suspected VMs.
    """

    sender: str
    suspects: tuple[Suspect, ...]
