"""Messages between entry VMs about requests that may crash upstreams."""

from __future__ import annotations

from plankspindle_core.classes import frozen


@frozen(kw_only=True)
class CrashReport:
    """An upstream crashed while a request was in flight on it.

    Parameters
    ----------
    identity : int
        Digest of the request, 64 bits; the same for all its attempts.
    life : str
        Incarnation id of the upstream that crashed.
    ago_ms : int
        Time between the detection of the crash and the sending of the message.
    """

    identity: int
    life: str
    ago_ms: int


@frozen(kw_only=True)
class Quarantined:
    """A request in quarantine.

    Parameters
    ----------
    identity : int
        Digest of the request.
    ago_ms : int
        Time between its quarantining and the sending of the message.
    trials : int
        Number of probe attempts since then.
    lives : tuple of str
        Incarnation ids of upstreams that crashed while running it; empty if the message
        is sent again.
    """

    identity: int
    ago_ms: int
    trials: int
    lives: tuple[str, ...] = ()


@frozen(kw_only=True)
class Clearance:
    """A suspected request that an upstream answered without crashing.

    Parameters
    ----------
    identity : int
        Digest of the request.
    ago_ms : int
        Time between its answer and the sending of the message.
    """

    identity: int
    ago_ms: int


@frozen(kw_only=True)
class CrashNews:
    """Update on crashes and on suspected, quarantined and cleared requests.

    Parameters
    ----------
    sender : str
        Name of the sending VM.
    reports : tuple of CrashReport
        Crashes of upstreams that the sender detected, for the VMs that count them.
    watched : tuple of int
        Digests of requests whose answers must be reported, since several upstreams
        crashed while running them.
    suspected : tuple of int
        Those of them that several upstreams crashed on one after the other; an attempt
        of such a request is sent to one upstream only.
    quarantined : tuple of Quarantined
        Requests in quarantine.
    cleared : tuple of Clearance
        Suspected requests that were answered.
    """

    sender: str
    reports: tuple[CrashReport, ...] = ()
    watched: tuple[int, ...] = ()
    suspected: tuple[int, ...] = ()
    quarantined: tuple[Quarantined, ...] = ()
    cleared: tuple[Clearance, ...] = ()
