"""Comparison and hash of ``attrs`` classes, compiled when they are first needed.

Notes
-----
The methods that are compiled do the same as those of ``attrs``: only instances of the
same class are equal, and each field is compared or hashed unless it is excluded.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable


def compare_fields(self: Any, other: object) -> Any:
    """Compare two instances by their fields; a class uses this as its ``__eq__``."""
    owner = _owner_of("__eq__", compare_fields, type(self))
    method = owner.__eq__ = _compile_eq(owner)  # type: ignore[assignment]
    return method(self, other)


def hash_fields(self: Any) -> int:
    """Hash an instance by its fields; a class uses this as its ``__hash__``."""
    owner = _owner_of("__hash__", hash_fields, type(self))
    method = owner.__hash__ = _compile_hash(owner)  # type: ignore[assignment]
    return int(method(self))


def _owner_of(name: str, method: Callable[..., Any], cls: type) -> type:
    """Return the first class in the resolution order that still has a method."""
    return next(each for each in cls.__mro__ if each.__dict__.get(name) is method)


def _compile_eq(cls: type) -> Callable[[Any, object], Any]:
    compared = [each for each in _fields(cls) if each.eq]
    keys_by_name = {f"{each.name}_key": each.eq_key for each in compared}
    terms = [f"{_term(each, 'self')} == {_term(each, 'other')}" for each in compared]
    source = (
        "def __eq__(self, other):\n"
        "    if other.__class__ is not self.__class__:\n"
        "        return NotImplemented\n"
        f"    return {' and '.join(terms) or True}\n"
    )
    return _compile(cls, "__eq__", source, keys_by_name)


def _compile_hash(cls: type) -> Callable[[Any], int]:
    hashed = [each for each in _fields(cls) if _is_hashed(each)]
    keys_by_name = {f"{each.name}_key": each.eq_key for each in hashed}
    terms = [repr(cls.__qualname__), *(_term(each, "self") for each in hashed)]
    source = f"def __hash__(self):\n    return hash(({', '.join(terms)},))\n"
    return _compile(cls, "__hash__", source, keys_by_name)


def _fields(cls: type) -> tuple[Any, ...]:
    """Return the fields of a class; their type does not declare ``eq_key``."""
    found: tuple[Any, ...] = attrs.fields(cls)
    return found


def _is_hashed(field: Any) -> bool:
    return bool(field.eq if field.hash is None else field.hash)


def _term(field: Any, instance: str) -> str:
    """Return the expression of what is compared or hashed of a field."""
    value = f"{instance}.{field.name}"
    return f"{field.name}_key({value})" if field.eq_key else value


def _compile(
    cls: type, name: str, source: str, names: dict[str, Any]
) -> Callable[..., Any]:
    namespace = {**names}
    exec(compile(source, f"<{name} of {cls.__qualname__}>", "exec"), namespace)
    method: Callable[..., Any] = namespace[name]
    method.__qualname__ = f"{cls.__qualname__}.{name}"
    return method
