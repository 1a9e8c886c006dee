"""Conversion of plain mappings into attrs classes, with key paths in errors."""

from __future__ import annotations

import re
from types import MappingProxyType
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

from cattrs import BaseValidationError
from cattrs import Converter
from cattrs import transform_error
from result import Err
from result import Ok
from result import Result

from plankspindle_core.endpoint import Endpoint
from plankspindle_core.errors import InvalidDocument

if TYPE_CHECKING:
    from collections.abc import Mapping

Structured = TypeVar("Structured")
ROOT_PATH = "$"
_QUOTED_KEY = re.compile(r"\['([^']*)'\]")
_CHECKED_FIELD = re.compile(r"'(\w+)' (must be [^:]+): (.*)")


class _WrongTypeError(TypeError):
    """A value does not have the expected type; the message is for the operator."""


def make_converter() -> Converter:
    """Create a converter that checks scalar types and rejects unknown keys.

    Returns
    -------
    Converter
        Converter that callers may add hooks to.
    """
    converter = Converter(forbid_extra_keys=True)
    for scalar in (bool, int, str):
        converter.register_structure_hook(scalar, _exactly)
    converter.register_structure_hook(float, _number)
    converter.register_structure_hook(Endpoint, _endpoint)
    converter.register_unstructure_hook(Endpoint, str)
    return converter


def _exactly(value: Any, wanted: type[Any]) -> Any:
    if type(value) is not wanted:
        raise _WrongTypeError(f"expected {wanted.__name__}, not {value!r}")
    return value


def _number(value: Any, _: type[float]) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise _WrongTypeError(f"expected a number, not {value!r}")
    return float(value)


def _endpoint(value: Any, _: type[Endpoint]) -> Endpoint:
    if not isinstance(value, str):
        raise _WrongTypeError(f"expected IP:PORT, not {value!r}")
    return Endpoint.parse(value)


def structure(
    converter: Converter,
    value: Any,
    wanted: type[Structured],
    *,
    key_by_field: Mapping[str, str] = MappingProxyType({}),
) -> Result[Structured, InvalidDocument]:
    """Convert a mapping into an attrs class; errors become lines with key paths.

    Parameters
    ----------
    converter : Converter
        Converter with the hooks of ``wanted``.
    value : object
        Plain mapping as loaded from YAML or JSON.
    wanted : type
        attrs class to build.
    key_by_field : mapping of str to str
        Keys of the document that differ from the names of their fields.

    Returns
    -------
    Result
        The object, or all problems found.
    """
    try:
        return Ok(converter.structure(value, wanted))
    except (TypeError, AttributeError, KeyError):
        return Err(InvalidDocument(("document: expected a mapping of keys",)))
    except BaseValidationError as error:
        lines = transform_error(error, path=ROOT_PATH, format_exception=_describe)
        return Err(
            InvalidDocument(
                tuple(_with_path_first(line, key_by_field) for line in lines)
            )
        )


def _describe(error: BaseException, _: type[Any] | None) -> str:
    if isinstance(error, KeyError):
        return f"required key {error.args[0]!r} is missing"
    if isinstance(error, _WrongTypeError | ValueError) and error.args:
        return str(error.args[0])
    if isinstance(error, TypeError | AttributeError | IndexError):
        return "the value does not have the expected form"
    extra = getattr(error, "extra_fields", None)
    if extra:
        keys = ", ".join(sorted(map(str, extra)))
        return f"unknown key {keys}; remove it or fix its spelling"
    return str(error)


def _with_path_first(line: str, key_by_field: Mapping[str, str]) -> str:
    message, _, path = line.rpartition(" @ ")
    path = _QUOTED_KEY.sub(r".\1", path)
    parts = path.removeprefix(ROOT_PATH).removeprefix(".").split(".")
    keys = [key_by_field.get(part, part) for part in parts if part]
    checked = _CHECKED_FIELD.match(message)
    if checked is not None:
        keys.append(checked[1])
        message = f"{checked[2]}, not {checked[3]}"
    return f"{'.'.join(keys) or 'document'}: {message}"
