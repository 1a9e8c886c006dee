"""Upstreams of a service by the software versions that requests may use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.stable_hash import stable_hash
from plankspindle_daemon.dispatch.placement import Placement
from plankspindle_daemon.dispatch.version_gate import UpstreamSet
from plankspindle_daemon.dispatch.version_split import VersionSplit
from plankspindle_daemon.upstreams.upstream_state import UpstreamState

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping


@define(kw_only=True)
class UpstreamPool:
    """Some upstreams of a service.

    Parameters
    ----------
    upstreams_by_name : dict of str to UpstreamState
        The upstreams.
    placement : Placement, optional
        Preferences among them; None if the slots are divided among the entry VMs.
    has_new_plan : bool
        Whether the plan of the placement was not updated yet.
    """

    upstreams_by_name: dict[str, UpstreamState]
    placement: Placement | None
    has_new_plan: bool = False

    def stays(self, now: float) -> bool:
        """Return whether any of the upstreams is listed and stays."""
        return any(
            not each.rejects_new_work(now) for each in self.upstreams_by_name.values()
        )


@define(kw_only=True)
class VersionPools:
    """Upstreams of the baseline and the target version of one service.

    Attributes
    ----------
    pools_by_set : dict of UpstreamSet to UpstreamPool
        The upstreams; empty without a split.
    target_names : set of str
        Upstreams that ran the target version at any time since the order.

    Notes
    -----
    Each pool ranks its upstreams for affinity keys, so that a key has a planned
    upstream among those that it may use. Changes of the list update the rankings in
    place.
    """

    pools_by_set: dict[UpstreamSet, UpstreamPool] = Factory(dict)
    target_names: set[str] = Factory(set)
    _split: VersionSplit | None = None

    def set_split(self, split: VersionSplit | None) -> bool:
        """Set the versions; return whether :meth:`update` is to be called."""
        before, self._split = self._split, split
        if _definition(before) == _definition(split):
            return False
        if before is None or split is None or before.order != split.order:
            self.target_names.clear()
        kept = _kept_pools(self.pools_by_set, before, split)
        self.pools_by_set.clear()
        self.pools_by_set.update(kept)
        return split is not None

    def update(
        self, upstreams_by_name: dict[str, UpstreamState], placement: Placement | None
    ) -> None:
        """Update the pools after a change of the upstreams.

        Parameters
        ----------
        upstreams_by_name : dict of str to UpstreamState
            All upstreams of the service.
        placement : Placement, optional
            Preferences among all of them, which ranks those that are to stay.
        """
        split = self._split
        assert split is not None
        members: dict[UpstreamSet, list[str]] = {
            UpstreamSet.BASELINE: [],
            UpstreamSet.TARGET: [],
        }
        for name, upstream in upstreams_by_name.items():
            if is_target(split, upstream):
                members[UpstreamSet.TARGET].append(name)
            elif is_baseline(split, upstream):
                members[UpstreamSet.BASELINE].append(name)
        self.target_names.update(members[UpstreamSet.TARGET])
        members[UpstreamSet.CANARY] = _canary_names(
            split,
            [upstreams_by_name[each] for each in members[UpstreamSet.TARGET]],
            placement,
        )
        for upstream_set, names in members.items():
            by_name = {name: upstreams_by_name[name] for name in names}
            self._set_pool(upstream_set, by_name, placement)
        self.pools_by_set[UpstreamSet.ANY] = UpstreamPool(
            upstreams_by_name=upstreams_by_name, placement=placement
        )

    def _set_pool(
        self,
        upstream_set: UpstreamSet,
        by_name: dict[str, UpstreamState],
        placement: Placement | None,
    ) -> None:
        pool = self.pools_by_set.get(upstream_set)
        if pool is None:
            pool = self.pools_by_set[upstream_set] = UpstreamPool(
                upstreams_by_name=by_name,
                placement=None if placement is None else placement.for_subset(),
                has_new_plan=True,
            )
        pool.upstreams_by_name = by_name
        if placement is not None and pool.placement is not None:
            pool.placement.rankings.set_upstreams(
                {
                    name: domain
                    for name, domain in placement.rankings.domain_by_name.items()
                    if name in by_name
                }
            )

    def rebuild_rankings(self) -> None:
        """Discard the rankings of the versions, as domains may have moved."""
        for upstream_set, pool in self.pools_by_set.items():
            if upstream_set is not UpstreamSet.ANY and pool.placement is not None:
                pool.placement.rankings.rebuild()


def is_target(split: VersionSplit, upstream: UpstreamState) -> bool:
    """Return whether an upstream runs the target version."""
    software_version = upstream.upstream.software_version
    return split.target is not None and software_version == split.target


def is_baseline(split: VersionSplit, upstream: UpstreamState) -> bool:
    """Return whether an upstream runs the baseline version, or an unknown one."""
    return not is_target(split, upstream) and upstream.upstream.software_version in (
        "",
        split.baseline,
    )


def _definition(split: VersionSplit | None) -> tuple[object, ...] | None:
    """Return the values that the members of the pools depend on."""
    if split is None:
        return None
    return split.baseline, split.target, split.order, split.upstream_share


def _kept_pools(
    pools_by_set: Mapping[UpstreamSet, UpstreamPool],
    before: VersionSplit | None,
    split: VersionSplit | None,
) -> dict[UpstreamSet, UpstreamPool]:
    """Return the pools whose members and rankings stay much the same."""
    if before is None or split is None:
        return {}
    kept: dict[UpstreamSet, UpstreamPool] = {}
    if before.target == split.target:
        kept[UpstreamSet.TARGET] = pools_by_set[UpstreamSet.TARGET]
        if (before.order, before.upstream_share) == (split.order, split.upstream_share):
            kept[UpstreamSet.CANARY] = pools_by_set[UpstreamSet.CANARY]
    if before.baseline == split.baseline:
        kept[UpstreamSet.BASELINE] = pools_by_set[UpstreamSet.BASELINE]
    elif before.target == split.baseline and before.target != split.target:
        kept[UpstreamSet.BASELINE] = pools_by_set[UpstreamSet.TARGET]
    return kept


def _canary_names(
    split: VersionSplit, targets: Iterable[UpstreamState], placement: Placement | None
) -> list[str]:
    """Return the target version's upstreams that get requests, of each region."""
    names_by_region: dict[str, list[str]] = {}
    for upstream in targets:
        if upstream.leaving or upstream.drained_at is not None:
            continue
        domain = upstream.upstream.failure_domain
        region = domain if placement is None else placement.distances.region_of(domain)
        names_by_region.setdefault(region or domain, []).append(upstream.name)
    chosen: list[str] = []
    for names in names_by_region.values():
        names.sort(key=lambda name: stable_hash(f"{split.order} {name}"))
        count = max(1, round(split.upstream_share * len(names)))
        chosen += names[:count]
    return chosen
