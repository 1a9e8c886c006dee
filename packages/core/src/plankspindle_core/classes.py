"""``attrs`` decorators that generate no ``__repr__`` code when a class is defined."""

from __future__ import annotations

from reprlib import recursive_repr
from typing import TYPE_CHECKING
from typing import Any

import attrs

if TYPE_CHECKING:
    from attrs import define as define
    from attrs import frozen as frozen
else:

    def define(maybe_class: type | None = None, **options: Any) -> Any:
        """Define a class like :func:`attrs.define`, without compiling its ``__repr__``.

        A process defines 290 classes at its start. Compiling one method for each takes
        a fifth of the 0.6 s of processor time of the start, and few are ever printed.

        Parameters
        ----------
        maybe_class : type, optional
            The class, if the decorator is used without arguments.
        **options : object
            Arguments of :func:`attrs.define`.
        """

        def make(cls: type) -> type:
            if "__repr__" not in cls.__dict__:
                cls.__repr__ = _describe
            return attrs.define(cls, repr=False, **options)

        return make if maybe_class is None else make(maybe_class)

    def frozen(maybe_class: type | None = None, **options: Any) -> Any:
        """Define a class like :func:`attrs.frozen`, in the same way."""
        return define(maybe_class, frozen=True, on_setattr=None, **options)


@recursive_repr()
def _describe(self: Any) -> str:
    """Return the representation of an instance in the format of ``attrs``."""
    parts = [
        f"{each.name}={getattr(self, each.name)!r}"
        for each in attrs.fields(type(self))
        if each.repr
    ]
    return f"{type(self).__qualname__}({', '.join(parts)})"
