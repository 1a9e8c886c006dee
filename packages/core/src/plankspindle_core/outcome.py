"""What a caller is told about the execution of its request."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """Truth about one request, sent in the ``Plankspindle-Outcome`` header.

    Notes
    -----
    ``NOT_RUN`` is sent only when it is proven that no upstream ran the request and
    that none ever will. ``UNKNOWN`` is sent when bytes reached a socket and no
    complete answer came back.
    """

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
