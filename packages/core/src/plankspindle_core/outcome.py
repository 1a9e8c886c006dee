"""Outcome of a request, as reported to its caller."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """Whether a request was executed, sent in the ``Plankspindle-Outcome`` header.

    Notes
    -----
    ``NOT_RUN`` is sent only if it is certain that no upstream ran the request and that
    none ever will. ``UNKNOWN`` is sent if bytes were written to a socket and no
    complete answer was received.
    """

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
