"""Splits reports on roll-outs that are too long for one message."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve

from plankspindle_core.classes import define
from plankspindle_daemon.peer_messages.peer_message import SendToPeer
from plankspindle_daemon.peer_messages.rollout_messages import TIMING_SUFFIX
from plankspindle_daemon.peer_messages.rollout_messages import RolloutReport
from plankspindle_daemon.peer_messages.rollout_messages import UpstreamOutcomes
from plankspindle_daemon.peer_messages.rollout_messages import VersionOutcomes

if TYPE_CHECKING:
    from collections.abc import Iterable

    from plankspindle_core.endpoint import Endpoint

_Row = VersionOutcomes | UpstreamOutcomes
MAX_PART_BYTES = 1_350
"""Longest payload of a part in bytes; a frame adds 20 bytes, and holds 1,400."""
HEAD_BYTES = 110
"""Bytes of a report without its rows and texts, at most."""
POINTER_BYTES = 5
"""Bytes of a reference to a text, at most."""


@define(kw_only=True)
class _Rows:
    """Rows of one operation, or of a part."""

    outcomes: list[VersionOutcomes]
    bad_upstreams: list[UpstreamOutcomes]
    size: int = 0

    def add(self, other: _Rows) -> None:
        self.outcomes += other.outcomes
        self.bad_upstreams += other.bad_upstreams
        self.size += other.size


def messages_of_report(
    report: RolloutReport, endpoints: Iterable[Endpoint]
) -> list[SendToPeer]:
    """Return the messages by which a report is sent to some VMs."""
    return [
        SendToPeer(message=part, to=endpoint)
        for part in split_report(report)
        for endpoint in endpoints
    ]


def split_report(report: RolloutReport) -> list[RolloutReport]:
    """Return reports of which each fits in a message, with all rows among them.

    Parameters
    ----------
    report : RolloutReport
        The report.

    Returns
    -------
    list of RolloutReport
        The report itself if it is short enough.

    Notes
    -----
    Each part has all sums of the report and a part of its rows. Counts only grow, and
    a receiver keeps the rows that a report does not name, so that parts need not be put
    together, and may be lost or repeated. Rows of an operation stay together where they
    fit, as the worst upstream is subtracted from the answers to its operation.
    """
    head = HEAD_BYTES + sum(
        _text_bytes(text)
        for text in (report.sender, report.failure_domain, report.service, report.stage)
    )
    limit = MAX_PART_BYTES - head
    groups = [each for rows in _by_operation(report) for each in _fitted(rows, limit)]
    parts: list[_Rows] = []
    for group in groups:
        if parts and parts[-1].size + group.size <= limit:
            parts[-1].add(group)
        else:
            parts.append(group)
    if len(parts) <= 1:
        return [report]
    return [
        evolve(
            report,
            outcomes=tuple(each.outcomes),
            bad_upstreams=tuple(each.bad_upstreams),
        )
        for each in parts
    ]


def _by_operation(report: RolloutReport) -> Iterable[_Rows]:
    rows_by_operation: dict[str, _Rows] = {}
    all_rows: list[_Row] = [*report.outcomes, *report.bad_upstreams]
    for row in all_rows:
        name = row.operation.removesuffix(TIMING_SUFFIX)
        rows = rows_by_operation.setdefault(name, _Rows(outcomes=[], bad_upstreams=[]))
        rows.add(_rows_of(row))
    return rows_by_operation.values()


def _rows_of(row: _Row) -> _Rows:
    if isinstance(row, VersionOutcomes):
        return _Rows(outcomes=[row], bad_upstreams=[], size=_outcomes_bytes(row))
    return _Rows(outcomes=[], bad_upstreams=[row], size=_upstream_bytes(row))


def _fitted(rows: _Rows, limit: int) -> list[_Rows]:
    """Return the rows of an operation one by one if they do not fit in a part."""
    if rows.size <= limit:
        return [rows]
    single_rows: list[_Row] = [*rows.outcomes, *rows.bad_upstreams]
    return [_rows_of(each) for each in single_rows]


def _outcomes_bytes(row: VersionOutcomes) -> int:
    return (
        _text_bytes(row.operation)
        + _text_bytes(row.failure_domain)
        + _count_bytes(row.baseline_answers)
        + _count_bytes(row.baseline_bad)
        + _count_bytes(row.target_answers)
        + _count_bytes(row.target_bad)
    )


def _upstream_bytes(row: UpstreamOutcomes) -> int:
    return (
        _text_bytes(row.operation)
        + _text_bytes(row.upstream)
        + _count_bytes(row.answers)
        + _count_bytes(row.bad)
    )


def _text_bytes(text: str) -> int:
    """Return the bytes of a packed text at most, with the reference to it."""
    length = len(text.encode())
    words = length // 8 + 1
    return POINTER_BYTES + length + 2 * words


def _count_bytes(count: int) -> int:
    """Return the bytes of a packed count at most."""
    return 2 + (count.bit_length() + 7) // 8
