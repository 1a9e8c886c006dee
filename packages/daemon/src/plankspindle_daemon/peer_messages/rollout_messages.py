"""Messages between entry VMs about roll-outs."""

from __future__ import annotations

from plankspindle_core.classes import frozen

TIMING_SUFFIX = " (time)"
"""Suffix of an operation whose answers are judged by their time alone."""
UNSEEN_KEY_SUFFIX = " (unseen key)"
"""Suffix before it for answers whose upstream may not have known the affinity key."""


@frozen(kw_only=True)
class VersionOutcomes:
    """Answers of both software versions to one operation in one failure domain.

    Parameters
    ----------
    operation : str
        Name of the operation, as in a ticket. Failures are counted under it, among all
        answers; slow answers under the name with ``TIMING_SUFFIX``, among those whose
        times can be compared, which may be few.
    failure_domain : str
        Failure domain of the upstreams.
    baseline_answers, baseline_bad : int
        Judged answers of the baseline version, and those of them that failed, or were
        several times slower than usual.
    target_answers, target_bad : int
        The same of the target version.
    """

    operation: str
    failure_domain: str
    baseline_answers: int = 0
    baseline_bad: int = 0
    target_answers: int = 0
    target_bad: int = 0

    @property
    def is_of_timing(self) -> bool:
        """Whether answers are judged by their time, and counted elsewhere as well."""
        return self.operation.endswith(TIMING_SUFFIX)


@frozen(kw_only=True)
class UpstreamOutcomes:
    """Answers of one upstream of the target version to one operation.

    Parameters
    ----------
    operation : str
        Name of the operation.
    upstream : str
        Name of the upstream.
    answers, bad : int
        Judged answers, and those of them that were bad; at least one is.
    """

    operation: str
    upstream: str
    answers: int
    bad: int


@frozen(kw_only=True)
class RolloutReport:
    """Counts of one entry VM, or of all those of a failure domain together.

    Parameters
    ----------
    sender : str
        Name of the sending VM.
    incarnation : int
        Incarnation of its process.
    failure_domain : str
        Failure domain that the counts are of.
    is_of_domain : bool
        Whether the counts are sums over the VMs of the failure domain.
    service : str
        The service.
    order : int
        Number of the order.
    stage : str
        Latest stage that the VMs know, by its name in ``Stage``.
    vms, emptied_vms : int
        Entry VMs that are counted, and those of them that run no request at the
        baseline version and send none there any more.
    requests, exposed : int
        Requests sent to any upstream of the service since the order, and those of them
        sent to the target version.
    outcomes : tuple of VersionOutcomes
        Judged answers since the order, by operation and failure domain.
    bad_upstreams : tuple of UpstreamOutcomes
        The target version's upstreams with the most bad answers.

    Notes
    -----
    Counts only grow during the life of a process, so a later report replaces an
    earlier one, and a lost or repeated one does no harm.
    """

    sender: str
    incarnation: int
    failure_domain: str
    is_of_domain: bool
    service: str
    order: int
    stage: str
    vms: int = 1
    emptied_vms: int = 0
    requests: int = 0
    exposed: int = 0
    outcomes: tuple[VersionOutcomes, ...] = ()
    bad_upstreams: tuple[UpstreamOutcomes, ...] = ()


@frozen(kw_only=True)
class RolloutDirective:
    """The stage of a roll-out, which the receiver follows for a limited time.

    Parameters
    ----------
    sender : str
        Name of the sending VM.
    service : str
        The service.
    order : int
        Number of the order; zero if there is none, and the directive only names the
        software version in force.
    stage : str
        Name of the stage in ``Stage``.
    baseline_version : str
        Software version in force.
    target_version : str
        Software version that the order names.
    moving_ms : int
        Time since the stage ``MOVING`` began, in milliseconds.
    ends_in_ms : int
        Time until the baseline version must run nothing any more, in milliseconds;
        negative if that is past. Only of the stage ``MOVING``.
    reason : str
        What decided the stage, for logs.
    canary_share : float
        Share of the requests that the canary gets, 0 to 1; zero from a release that
        does not tell it.
    """

    sender: str
    service: str
    order: int
    stage: str
    baseline_version: str
    target_version: str = ""
    moving_ms: int = 0
    ends_in_ms: int = 0
    reason: str = ""
    canary_share: float = 0.0
