"""``attrs`` decorators that generate less code when a class is defined."""

from __future__ import annotations

from reprlib import recursive_repr
from typing import TYPE_CHECKING
from typing import Any

import attrs

from plankspindle_core.field_methods import compare_fields
from plankspindle_core.field_methods import hash_fields

if TYPE_CHECKING:
    from attrs import define as define
    from attrs import frozen as frozen
else:

    def define(maybe_class: type | None = None, **options: Any) -> Any:
        """Define a class like :func:`attrs.define`, compiling only its ``__init__``.

        A process defines 390 classes at its start, and compiling the other methods of
        each takes a large part of it. Few classes are ever printed, and most are never
        compared or hashed.

        Parameters
        ----------
        maybe_class : type, optional
            The class, if the decorator is used without arguments.
        **options : object
            Arguments of :func:`attrs.define`.
        """

        def make(cls: type) -> type:
            _add_missing(cls, "__repr__", _describe)
            if _compares_by_fields(cls, options):
                _add_missing(cls, "__eq__", compare_fields)
                if _is_frozen(cls, options):
                    _add_missing(cls, "__hash__", hash_fields)
            return attrs.define(cls, **options)

        return make if maybe_class is None else make(maybe_class)

    def frozen(maybe_class: type | None = None, **options: Any) -> Any:
        """Define a class like :func:`attrs.frozen`, in the same way."""
        return define(maybe_class, frozen=True, on_setattr=None, **options)


_COMPARISON_OPTIONS = frozenset({"eq", "order", "cache_hash", "unsafe_hash"})
"""Options of :func:`attrs.define` with which it generates the methods itself."""


def _add_missing(cls: type, name: str, method: Any) -> None:
    """Add a method, which ``attrs`` then leaves as it is, unless the class has one."""
    if name not in cls.__dict__:
        setattr(cls, name, method)


def _compares_by_fields(cls: type, options: dict[str, Any]) -> bool:
    """Return whether instances are compared by fields, with the standard options."""
    is_standard = _COMPARISON_OPTIONS.isdisjoint(options)
    has_methods = "__eq__" in cls.__dict__ or "__ne__" in cls.__dict__
    return is_standard and not has_methods and not issubclass(cls, BaseException)


def _is_frozen(cls: type, options: dict[str, Any]) -> bool:
    bases = [each for each in cls.__mro__[1:] if attrs.has(each)]
    return options.get("frozen", False) or any(
        attrs.inspect(each).is_frozen for each in bases
    )


@recursive_repr()
def _describe(self: Any) -> str:
    """Return the representation of an instance in the format of ``attrs``."""
    parts = [
        f"{each.name}={getattr(self, each.name)!r}"
        for each in attrs.fields(type(self))
        if each.repr
    ]
    return f"{type(self).__qualname__}({', '.join(parts)})"
