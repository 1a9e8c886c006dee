"""What entry VMs tell one another of requests under which upstreams end."""

from __future__ import annotations

from plankspindle_core.classes import frozen


@frozen(kw_only=True)
class CrashReport:
    """An upstream ended while a request was in flight there.

    Parameters
    ----------
    identity : int
        The request, 64 bits; the same for all its tries.
    life : str
        Which life of which upstream ended.
    ago_ms : int
        Time since that was noticed, at the sending of the message.
    """

    identity: int
    life: str
    ago_ms: int


@frozen(kw_only=True)
class Quarantined:
    """A request that is held back.

    Parameters
    ----------
    identity : int
        The request.
    ago_ms : int
        Time since it was put in quarantine, at the sending of the message.
    trials : int
        How often it was let through since then.
    lives : tuple of str
        Lives of upstreams that ended under it; empty in a repetition.
    """

    identity: int
    ago_ms: int
    trials: int
    lives: tuple[str, ...] = ()


@frozen(kw_only=True)
class Clearance:
    """An upstream ran a suspected request to its end.

    Parameters
    ----------
    identity : int
        The request.
    ago_ms : int
        Time since its answer came, at the sending of the message.
    """

    identity: int
    ago_ms: int


@frozen(kw_only=True)
class CrashNews:
    """News of such requests.

    Parameters
    ----------
    sender : str
        Name of the VM.
    reports : tuple of CrashReport
        Ends of upstreams that it noticed, for those that count them.
    watched : tuple of int
        Requests whose answers are to be told, since several upstreams ended under them.
    suspected : tuple of int
        Those of them under which upstreams ended one after the other, of which a try is
        sent to one upstream only.
    quarantined : tuple of Quarantined
        Requests that are held back.
    cleared : tuple of Clearance
        Requests that were answered.
    """

    sender: str
    reports: tuple[CrashReport, ...] = ()
    watched: tuple[int, ...] = ()
    suspected: tuple[int, ...] = ()
    quarantined: tuple[Quarantined, ...] = ()
    cleared: tuple[Clearance, ...] = ()
