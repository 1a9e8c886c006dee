"""State machine by which entry VMs of a failure domain share platform reads."""

from __future__ import annotations

import math
from enum import Enum
from typing import TYPE_CHECKING
from typing import Any

from attrs import Factory
from attrs import field

from plankspindle_core.classes import define
from plankspindle_daemon.peer_messages.list_news import ListNews
from plankspindle_daemon.peer_messages.peer_message import SendToPeer
from plankspindle_daemon.sharing.list_history import ListChange
from plankspindle_daemon.sharing.list_history import ListHistory
from plankspindle_daemon.sharing.read_status import ReadStatus
from plankspindle_daemon.sharing.read_status import Version
from plankspindle_daemon.sharing.reader_group import ReaderGroup
from plankspindle_daemon.sharing.update_assembler import PARTS_TIMEOUT_S
from plankspindle_daemon.sharing.update_assembler import UpdateAssembler
from plankspindle_daemon.sharing.upstream_codec import decode_upstream
from plankspindle_daemon.sharing.upstream_codec import encode_upstream
from plankspindle_daemon.versions.configuration_version import NO_VERSION
from plankspindle_daemon.versions.configuration_version import ConfigurationVersion
from plankspindle_daemon.versions.store_era import UNKNOWN_ERA
from plankspindle_daemon.versions.store_version import StoreVersion

if TYPE_CHECKING:
    from collections.abc import Iterable

    from plankspindle_daemon.platform.live_list import ListedVm

STALE_AFTER_PERIODS = 1.4
STALE_MARGIN_S = 0.1
"""Age at which an update is stale: so many periods of the reader, plus the margin.

It covers the period, a delayed message and the transfer time.
"""
RANK_DELAY_PERIODS = 0.1
MAX_RANK_DELAY_PERIODS = 0.4
"""Additional delay per rank before a VM takes over from an unresponsive reader.

With 1.4 periods and the margin, a change is read at most 1.8 periods and 0.1 s after it
was made, even if the reader fails at that moment.
"""
LIST_WAIT_PERIODS = 0.6
"""Share of the period in which a reader waits for changes of the list.

In the remaining time changes accumulate, so that many of them cost few calls.
"""
FETCH_TIMEOUT_S = 0.4
"""Time to fetch a version from a member before this VM reads it itself, in seconds."""
MIN_CHECK_DELAY_S = 0.2
MAX_CHECK_DELAY_S = 1.0
"""Bounds of the time between checks whether this VM must read for itself, in seconds.

A follower checks when the last update becomes stale, and after the shorter time while
it lacks a change. The longer time bounds how late it reacts to members that join or
leave.
"""
SETTLE_S = 2.0
"""Time after its first read for which a VM reads for itself, in seconds.

All VMs may start together, and the slowest of them enter the list 2 s later; one that
enters later sends heartbeats to those in the list. With 6 s, each VM made four more
calls at each start.
"""
MAX_OWN_READ_AGE_S = 60.0
"""Age of a VM's own last read at which it reads for itself once, in seconds.

This bounds how long a fault of the sharing can last, and finds VMs from which no
heartbeat was received yet.
"""


class ReadRole(Enum):
    """How an entry VM obtains the platform's list."""

    ALONE = "alone"
    READER = "reader"
    FOLLOWER = "follower"


@define(kw_only=True)
class SharedReads:
    """Decide which entry VMs read the platform's list and configuration.

    Parameters
    ----------
    group : ReaderGroup
        Entry VMs that share reads.
    period_s : float
        Period at which a reader polls the platform, in seconds; zero if every VM reads
        for itself.

    Attributes
    ----------
    list_version : StoreVersion or None
        Version of the list that this VM holds.
    is_reading : bool
        Whether a read of the list is in progress. Changes received meanwhile are not
        applied, since the read may return older entries.

    Notes
    -----
    There is no election. A VM that has read the platform broadcasts to its group how
    old its data is and what has changed; a VM that receives updates of one that
    precedes it by name does not read. A VM that receives no fresh update, or lacks a
    change, reads for itself. With 13 VMs in a domain, that is two calls per second of
    the whole domain instead of thirteen.
    """

    group: ReaderGroup
    period_s: float
    list_version: StoreVersion | None = None
    is_reading: bool = False
    _list: ReadStatus[StoreVersion] = Factory(
        lambda: ReadStatus(reported_version=StoreVersion())
    )
    _configuration: ReadStatus[ConfigurationVersion] = Factory(
        lambda: ReadStatus(reported_version=NO_VERSION)
    )
    _history: ListHistory = Factory(ListHistory)
    _assembler: UpdateAssembler = Factory(UpdateAssembler)
    _settled_at: float = field(default=math.inf)
    _retained_until: float = -math.inf

    def should_read_list(self, now: float) -> bool:
        """Return whether this VM must read the list."""
        grace_s = PARTS_TIMEOUT_S if self._assembler.is_waiting(now) else 0.0
        return self._should_read(
            self._list, self._held_list_version(), now, grace_s=grace_s
        )

    def should_read_configuration(self, held: ConfigurationVersion, now: float) -> bool:
        """Return whether this VM must read the configuration.

        Parameters
        ----------
        held : ConfigurationVersion
            Version in force.
        now : float
            Monotonic seconds.
        """
        return self._should_read(
            self._configuration, held, now, grace_s=FETCH_TIMEOUT_S
        )

    def _should_read(
        self, status: ReadStatus[Version], held: Version, now: float, *, grace_s: float
    ) -> bool:
        if not self.is_shared(now) or now - status.own_read_at > MAX_OWN_READ_AGE_S:
            return True
        if self.group.rank() == 0 or status.is_behind(held, now, grace_s):
            return True
        return now > self._stale_at(status)

    def lacks_change(self) -> bool:
        """Return whether another VM has read a later list than this VM holds."""
        return self._list.reported_version > self._held_list_version()

    def list_check_delay_s(self, now: float) -> float:
        """Return the time until the next check of the list, in seconds.

        A received update may require an earlier one.
        """
        return self._check_delay_s(self._list, self._held_list_version(), now)

    def configuration_check_delay_s(
        self, held: ConfigurationVersion, now: float
    ) -> float:
        """Return the time until the next check of the configuration, in seconds.

        Parameters
        ----------
        held : ConfigurationVersion
            Version in force.
        now : float
            Monotonic seconds.
        """
        return self._check_delay_s(self._configuration, held, now)

    def _check_delay_s(
        self, status: ReadStatus[Version], held: Version, now: float
    ) -> float:
        if status.reported_version > held:
            return MIN_CHECK_DELAY_S
        due_at = min(self._stale_at(status), status.own_read_at + MAX_OWN_READ_AGE_S)
        return min(MAX_CHECK_DELAY_S, max(MIN_CHECK_DELAY_S, due_at - now))

    def _held_list_version(self) -> StoreVersion:
        return (
            StoreVersion(number=-1) if self.list_version is None else self.list_version
        )

    def _stale_at(self, status: ReadStatus[Any]) -> float:
        """Return when this VM reads for itself if it receives no further update."""
        delay = min(MAX_RANK_DELAY_PERIODS, RANK_DELAY_PERIODS * self.group.rank())
        return status.reported_at + self._stale_after_s() + delay * self.period_s

    def invalidate(self) -> None:
        """Require own reads of list and configuration, as after a process pause."""
        self._list.own_read_at = self._configuration.own_read_at = -math.inf

    def role(self, now: float) -> ReadRole:
        """Return the role of this VM in its group, for the log."""
        if not self.is_shared(now):
            return ReadRole.ALONE
        has_fresh_update = now - self._list.reported_at <= self._stale_after_s()
        return (
            ReadRole.FOLLOWER
            if has_fresh_update and self.group.rank() > 0
            else ReadRole.READER
        )

    def is_shared(self, now: float) -> bool:
        """Return whether reads are shared at all."""
        return (
            self.period_s > 0
            and now >= self._settled_at
            and self.group.is_large_enough()
        )

    def _stale_after_s(self) -> float:
        return STALE_AFTER_PERIODS * self.period_s + STALE_MARGIN_S

    def list_wait_s(self, now: float) -> float | None:
        """Return the longest wait for a list change, in seconds; None for default."""
        return LIST_WAIT_PERIODS * self.period_s if self.is_shared(now) else None

    def configuration_wait_s(self, now: float) -> float | None:
        """Return the longest wait for a version, in seconds; None for the default."""
        return self.period_s if self.is_shared(now) else None

    def list_pause_s(self, now: float) -> float | None:
        """Return the pause between list reads, in seconds; None for the default."""
        pause_s = (1 - LIST_WAIT_PERIODS) * self.period_s
        return pause_s if self.is_shared(now) else None

    def record_list_read(
        self,
        vms: Iterable[ListedVm],
        *,
        version: StoreVersion | None,
        configuration_version: ConfigurationVersion,
        retained_until: float,
        now: float,
    ) -> list[SendToPeer]:
        """Record a list that this VM has read, and broadcast its changes.

        Parameters
        ----------
        vms : iterable of ListedVm
            The complete list.
        version : ConfigurationVersion, optional
            Its version; a list without version cannot be shared.
        configuration_version : ConfigurationVersion
            Version of the configuration in force.
        retained_until : float
            Until when entries are retained that are missing since the platform was
            unavailable, in monotonic seconds.
        now : float
            Monotonic seconds.
        """
        if version is None or self.period_s == 0:
            return []
        change = self._history.record(vms, version=version, now=now)
        self.list_version = version
        self._list.own_read_at = now
        self._assembler.reset()
        self._retained_until = retained_until
        self._settled_at = min(self._settled_at, now + SETTLE_S)
        return self._broadcast(configuration_version, now, change=change)

    def record_configuration_read(
        self, version: ConfigurationVersion, now: float
    ) -> list[SendToPeer]:
        """Record that this VM has read the configuration, and broadcast the time."""
        self._configuration.own_read_at = now
        return self._broadcast(version, now)

    def _broadcast(
        self,
        configuration_version: ConfigurationVersion,
        now: float,
        change: ListChange | None = None,
    ) -> list[SendToPeer]:
        """Broadcast the age of this VM's data and the recent changes of the list.

        A change that needs several messages, or that crosses eras of the store, is sent
        once, when it is new; others are sent again. A release of 900 upstreams changes
        30 of them per period: if a change had to fit into one message, each VM of the
        domain would read for itself. So would each VM at a return of the store.
        """
        is_follower = now - self._list.reported_at <= self._stale_after_s()
        if self.list_version is None or is_follower or not self.is_shared(now):
            return []
        is_sent_once = change is not None and (
            change.crosses_eras or not change.fits_message()
        )
        parts = change.split() if change is not None and is_sent_once else []
        updates = [
            self._update_of(piece, configuration_version, now, part, max(1, len(parts)))
            for part, piece in enumerate(parts or [self._history.merge_recent()])
        ]
        return [
            SendToPeer(message=each, to=to)
            for each in updates
            for to in self.group.peer_endpoints()
        ]

    def _update_of(
        self,
        change: ListChange,
        configuration_version: ConfigurationVersion,
        now: float,
        part: int,
        parts: int,
    ) -> ListNews:
        return ListNews(
            sender=self.group.vm,
            bases=tuple(end for span in change.base_spans for end in span),
            base_era=change.base_era,
            version=change.version,
            list_age_ms=self._list.age_ms(now),
            configuration_age_ms=self._configuration.age_ms(now),
            configuration_version=configuration_version,
            after_gap=now < self._retained_until,
            keep_ms=math.ceil(1000 * max(0.0, self._retained_until - now)),
            changed=tuple(encode_upstream(each, now) for each in change.changed),
            gone=change.gone,
            part=part,
            parts=parts,
        )

    def is_in_group(self, sender: str) -> bool:
        """Return whether a VM belongs to the group."""
        return sender in self.group.names()

    def confirms_list(self, update: ListNews) -> bool:
        """Return whether an update confirms the list that this VM holds."""
        is_fresh = update.list_age_ms <= 1000 * self._stale_after_s()
        return is_fresh and not self.is_reading and update.version == self.list_version

    def apply_update(self, update: ListNews, now: float) -> ListChange | None:
        """Apply an update from a reader.

        Parameters
        ----------
        update : ListNews
            The update.
        now : float
            Monotonic seconds.

        Returns
        -------
        ListChange or None
            Change of the list that this VM holds; None if there is none or it cannot be
            applied.
        """
        if not self.is_in_group(update.sender) or self.list_version is None:
            return None
        if update.version.era == UNKNOWN_ERA < self.list_version.era:
            # The sender knows no eras: its numbers cannot be ordered, and this VM must
            # not rely on its reads.
            return None
        if self.group.is_before(update.sender):
            list_at = now - update.list_age_ms / 1000
            self._list.record_report(update.version, read_at=list_at)
            configuration_at = now - update.configuration_age_ms / 1000
            self._configuration.record_report(
                update.configuration_version, read_at=configuration_at
            )
        if self.is_reading or self.list_version >= update.version:
            return None
        complete = self._assembler.add(update, now)
        return None if complete is None else self._apply_change(complete, now)

    def _apply_change(self, update: ListNews, now: float) -> ListChange | None:
        change = ListChange(
            base_spans=tuple(zip(update.bases[::2], update.bases[1::2], strict=False)),
            base_era=update.base_era,
            version=update.version,
            changed=tuple(decode_upstream(each, now) for each in update.changed),
            gone=update.gone,
        )
        if self.list_version is None or not change.applies_to(self.list_version):
            return None
        self._history.add(change)
        self.list_version = update.version
        return change
