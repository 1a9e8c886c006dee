"""Tests of the ``attrs`` decorators without generated ``__repr__``."""

from __future__ import annotations

from typing import Any

import attrs
import pytest

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen


@frozen(kw_only=True)
class Point:
    x: int
    y: int = 2


@attrs.frozen(kw_only=True)
class _Plain:
    x: int
    y: int = 2


@define
class Node:
    next: Any = None
    _secret: str = attrs.field(default="s", repr=False)


def test_repr_has_the_format_of_attrs() -> None:
    assert repr(Point(x=1)) == repr(_Plain(x=1)).replace("_Plain", "Point")


def test_repr_omits_fields_with_repr_false() -> None:
    assert repr(Node()) == "Node(next=None)"


def test_repr_of_a_cycle_terminates() -> None:
    node = Node()
    node.next = node
    assert repr(node) == "Node(next=...)"


def test_custom_repr_is_kept() -> None:
    @define
    class Own:
        def __repr__(self) -> str:
            return "own"

    assert repr(Own()) == "own"


def test_frozen_instances_are_comparable_hashable_and_immutable() -> None:
    assert Point(x=1) == Point(x=1)
    assert len({Point(x=1), Point(x=1)}) == 1
    with pytest.raises(attrs.exceptions.FrozenInstanceError):
        Point(x=1).x = 2  # type: ignore[misc]
