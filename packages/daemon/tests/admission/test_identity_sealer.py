"""Tests of the hand-over of identities between entry VMs."""

from __future__ import annotations

from plankspindle_daemon.admission.identity_signer import MAX_TOKEN_AGE_MS
from plankspindle_daemon.admission.identity_signer import IdentitySigner

OLD, NEW = b"o" * 16, b"n" * 16
TARGET = "/v1/services/registry/plates"


def test_a_sealed_name_is_believed_for_its_target_and_time() -> None:
    sealer = IdentitySigner(keys=[NEW])
    sealed = sealer.sign("desk", target=TARGET, wall_ms=1_000)
    assert sealer.verify(sealed, target=TARGET, wall_ms=2_000) == "desk"
    assert sealer.verify(sealed, target="/other", wall_ms=2_000) is None
    assert (
        sealer.verify(sealed, target=TARGET, wall_ms=1_001 + MAX_TOKEN_AGE_MS) is None
    )


def test_keys_can_be_rotated() -> None:
    sealed = IdentitySigner(keys=[OLD]).sign("desk", target=TARGET, wall_ms=0)
    both = IdentitySigner(keys=[NEW, OLD])
    assert both.verify(sealed, target=TARGET, wall_ms=0) == "desk"
    assert IdentitySigner(keys=[NEW]).verify(sealed, target=TARGET, wall_ms=0) is None


def test_what_callers_make_up_is_not_believed() -> None:
    sealer = IdentitySigner(keys=[NEW])
    sealed = sealer.sign("desk", target=TARGET, wall_ms=0)
    stated, _, mac = sealed.partition(b".")
    for forged in (b"", b".", b"desk", stated, stated + b".", b"." + mac, b"%%.%%"):
        assert sealer.verify(forged, target=TARGET, wall_ms=0) is None
