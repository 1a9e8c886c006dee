"""YAML loading that rejects duplicate keys."""

from __future__ import annotations

from typing import Any

import yaml
from result import Err
from result import Ok
from result import Result

from plankspindle_core.errors import InvalidDocument


class _DuplicateKeyError(yaml.YAMLError):  # type: ignore[misc]
    """A mapping contains a key twice."""


class _StrictLoader(yaml.CSafeLoader):  # type: ignore[misc]
    """Safe loader that rejects duplicate keys."""

    def construct_mapping(self, node: Any, deep: bool = False) -> dict[Any, Any]:
        """Build a mapping, rejecting duplicate keys."""
        seen = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if key in seen:
                line = key_node.start_mark.line + 1
                raise _DuplicateKeyError(f"duplicate key {key!r}, line {line}")
            seen.add(key)
        built: dict[Any, Any] = super().construct_mapping(node, deep)
        return built


YAML_ERRORS = (yaml.YAMLError, ValueError, TypeError, RecursionError)
"""Errors of the YAML library.

All but the first are raised for invalid dates, tags and keys, and for deep nesting.
"""


def load_yaml(text: str) -> Result[dict[str, Any], InvalidDocument]:
    """Parse a YAML mapping.

    Parameters
    ----------
    text : str
        The document.

    Returns
    -------
    Result
        The mapping, or what is wrong with the document.
    """
    try:
        loaded = yaml.load(text, Loader=_StrictLoader)
    except YAML_ERRORS as error:
        return Err(InvalidDocument((f"not valid YAML: {_one_line(error)}",)))
    if not isinstance(loaded, dict):
        return Err(InvalidDocument(("the document must be a mapping of keys",)))
    return Ok(loaded)


def _one_line(error: Exception) -> str:
    return " ".join(str(error).split())
