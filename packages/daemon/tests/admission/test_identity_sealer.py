"""Tests of the hand-over of identities between entry VMs."""

from __future__ import annotations

from plankspindle_daemon.admission.identity_sealer import VALID_MS
from plankspindle_daemon.admission.identity_sealer import IdentitySealer

OLD, NEW = b"o" * 16, b"n" * 16
TARGET = "/v1/services/registry/plates"


def test_a_sealed_name_is_believed_for_its_target_and_time() -> None:
    sealer = IdentitySealer(keys=[NEW])
    sealed = sealer.seal("desk", target=TARGET, wall_ms=1_000)
    assert sealer.open(sealed, target=TARGET, wall_ms=2_000) == "desk"
    assert sealer.open(sealed, target="/other", wall_ms=2_000) is None
    assert sealer.open(sealed, target=TARGET, wall_ms=1_001 + VALID_MS) is None


def test_keys_can_be_rotated() -> None:
    sealed = IdentitySealer(keys=[OLD]).seal("desk", target=TARGET, wall_ms=0)
    both = IdentitySealer(keys=[NEW, OLD])
    assert both.open(sealed, target=TARGET, wall_ms=0) == "desk"
    assert IdentitySealer(keys=[NEW]).open(sealed, target=TARGET, wall_ms=0) is None


def test_what_callers_make_up_is_not_believed() -> None:
    sealer = IdentitySealer(keys=[NEW])
    sealed = sealer.seal("desk", target=TARGET, wall_ms=0)
    stated, _, mac = sealed.partition(b".")
    for forged in (b"", b".", b"desk", stated, stated + b".", b"." + mac, b"%%.%%"):
        assert sealer.open(forged, target=TARGET, wall_ms=0) is None
