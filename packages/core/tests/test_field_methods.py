"""Tests of comparison and hash that are compiled when they are first needed."""

from __future__ import annotations

import math
from typing import Any

import attrs
import pytest

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_core.field_methods import compare_fields
from plankspindle_core.field_methods import hash_fields


def _build_pair(decorator: Any) -> tuple[type, type]:
    """Build a class and a subclass, with fields that are compared differently."""

    @decorator
    class Point:
        x: Any
        _secret: Any = 0
        label: str = attrs.field(default="", eq=False)
        name: str = attrs.field(default="", eq=str.lower)

    @decorator
    class Sized(Point):
        size: int = 0

    return Point, Sized


CASES: list[dict[str, Any]] = [
    {},
    {"x": 2},
    {"secret": 1},
    {"label": "other"},
    {"name": "A"},
    {"name": "a"},
    {"x": math.nan},
    {"x": None},
]


@pytest.mark.parametrize("kind", ["define", "frozen"])
def test_comparison_and_hash_are_those_of_attrs(kind: str) -> None:
    ours = _build_pair({"define": define, "frozen": frozen}[kind])
    plain = _build_pair(getattr(attrs, kind))
    for own_cls, plain_cls in zip(ours, plain, strict=True):
        own = [own_cls(**{"x": 1, **each}) for each in CASES]
        expected = [plain_cls(**{"x": 1, **each}) for each in CASES]
        assert _equal_pairs(own) == _equal_pairs(expected)
        assert [_has_hash(each) for each in own] == [_has_hash(e) for e in expected]


def _equal_pairs(instances: list[Any]) -> list[tuple[bool, bool]]:
    return [(a == b, a != b) for a in instances for b in instances]


def _has_hash(instance: Any) -> bool:
    try:
        return hash(instance) == hash(attrs.evolve(instance))
    except TypeError:
        return False


def test_instances_of_different_classes_are_not_equal() -> None:
    point, sized = _build_pair(frozen)
    assert point(x=1) != sized(x=1)
    assert point(x=1) != 1
    assert hash(point(x=1)) != hash(sized(x=1))


def test_class_derived_from_frozen_class_is_hashable_like_in_attrs() -> None:
    @frozen
    class Base:
        x: int

    @define(on_setattr=None)
    class Derived(Base):
        y: int = 0

    class Undecorated(Derived):
        pass

    assert hash(Derived(1)) == hash(Derived(1))
    assert Undecorated(1) == Undecorated(1)
    assert hash(Undecorated(1)) == hash(Undecorated(1))


def test_methods_are_compiled_when_first_used() -> None:
    point, _ = _build_pair(frozen)
    assert point.__dict__["__eq__"] is compare_fields
    assert point.__dict__["__hash__"] is hash_fields
    assert point(1) == point(1)
    assert hash(point(1)) == hash(point(1))
    assert point.__dict__["__eq__"].__qualname__.endswith("Point.__eq__")
    assert point.__dict__["__hash__"].__qualname__.endswith("Point.__hash__")


def test_own_methods_and_options_are_kept() -> None:
    @define(eq=False)
    class ById:
        x: int

    @frozen(order=True)
    class Ordered:
        x: int

    @define
    class Own:
        x: int

        def __eq__(self, other: object) -> bool:
            return True

    @define
    class FailureError(Exception):
        detail: str

    assert ById(1) != ById(1)
    assert len({ById(1), ById(1)}) == 2
    assert Ordered(1) < Ordered(2)
    assert Ordered(1) == Ordered(1)
    assert Own(1) == Own(2)
    assert FailureError("a") != FailureError("a")
    assert hash(FailureError("a"))
