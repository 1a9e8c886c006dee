"""Tests of signed identities passed between entry VMs."""

from __future__ import annotations

from plankspindle_daemon.admission.identity_signer import MAX_TOKEN_AGE_MS
from plankspindle_daemon.admission.identity_signer import IdentitySigner

OLD, NEW = b"o" * 16, b"n" * 16
TARGET = "/v1/services/registry/plates"


def test_token_is_valid_only_for_its_target_and_time() -> None:
    signer = IdentitySigner(keys=[NEW])
    token = signer.sign("desk", target=TARGET, wall_ms=1_000)
    assert signer.verify(token, target=TARGET, wall_ms=2_000) == "desk"
    assert signer.verify(token, target="/other", wall_ms=2_000) is None
    assert signer.verify(token, target=TARGET, wall_ms=1_001 + MAX_TOKEN_AGE_MS) is None


def test_token_of_previous_key_is_accepted_during_rotation() -> None:
    token = IdentitySigner(keys=[OLD]).sign("desk", target=TARGET, wall_ms=0)
    both = IdentitySigner(keys=[NEW, OLD])
    assert both.verify(token, target=TARGET, wall_ms=0) == "desk"
    assert IdentitySigner(keys=[NEW]).verify(token, target=TARGET, wall_ms=0) is None


def test_forged_tokens_are_rejected() -> None:
    signer = IdentitySigner(keys=[NEW])
    token = signer.sign("desk", target=TARGET, wall_ms=0)
    claims, _, mac = token.partition(b".")
    for forged in (b"", b".", b"desk", claims, claims + b".", b"." + mac, b"%%.%%"):
        assert signer.verify(forged, target=TARGET, wall_ms=0) is None
