"""Decoding and encoding of configurations as YAML and JSON."""

from __future__ import annotations

import hashlib
import json
from functools import cache
from typing import TYPE_CHECKING
from typing import Any

from result import Err
from result import Ok
from result import Result

from plankspindle_core.configuration.configuration import Configuration
from plankspindle_core.configuration.upstream import Upstream
from plankspindle_core.errors import InvalidDocument
from plankspindle_core.read_json import read_json
from plankspindle_core.settings.yaml_document import load_yaml

if TYPE_CHECKING:
    from cattrs import Converter

KEY_BY_FIELD = {
    "failure_domains_by_name": "failure_domains",
    "services_by_name": "services",
    "upstreams_by_name": "upstreams",
    "callers_by_name": "callers",
    "sites_by_name": "sites",
    "site_by_prefix": "client_blocks",
    "shifts_by_id": "shifts",
    "drains_by_id": "drains",
    "routes_by_name": "routes",
    "workspaces_by_name": "workspaces",
    "rollouts_by_service": "rollouts",
}
_OMITTED_IF_EMPTY = {"rollouts_by_service", "caller_limits"}
"""Fields that earlier releases refuse; without a value they are not written."""


@cache
def _converter() -> Converter:
    """Create the converter, and import its modules, at the first use.

    That takes 60 ms of processor time, a tenth of the start of a process, and many
    processes never need it, since they read the platform's own format.
    """
    from cattrs.gen import make_dict_structure_fn
    from cattrs.gen import make_dict_unstructure_fn
    from cattrs.gen import override

    from plankspindle_core.settings.structure import make_converter

    converter = make_converter()
    # Earlier releases refuse upstreams that have this key as well.
    converter.register_unstructure_hook(
        Upstream,
        make_dict_unstructure_fn(
            Upstream, converter, software_version=override(omit_if_default=True)
        ),
    )
    renamed = {
        name: override(
            rename=KEY_BY_FIELD.get(name), omit_if_default=name in _OMITTED_IF_EMPTY
        )
        for name in KEY_BY_FIELD.keys() | _OMITTED_IF_EMPTY
    }
    converter.register_structure_hook(
        Configuration,
        make_dict_structure_fn(
            Configuration,
            converter,
            _cattrs_forbid_extra_keys=True,
            **renamed,  # type: ignore[arg-type]
        ),
    )
    converter.register_unstructure_hook(
        Configuration,
        make_dict_unstructure_fn(Configuration, converter, **renamed),  # type: ignore[arg-type]
    )
    return converter


def configuration_from_mapping(
    mapping: Any,
) -> Result[Configuration, InvalidDocument]:
    """Build and validate a configuration.

    Parameters
    ----------
    mapping : object
        Plain mapping as loaded from YAML or JSON.

    Returns
    -------
    Result
        The valid configuration, or all problems found.
    """
    from plankspindle_core.settings.structure import structure

    structured = structure(
        _converter(), mapping, Configuration, key_by_field=KEY_BY_FIELD
    )
    if structured.is_err():
        return structured
    problems = structured.unwrap().problems()
    if problems:
        return Err(InvalidDocument(tuple(problems)))
    return structured


def configuration_from_yaml(text: str) -> Result[Configuration, InvalidDocument]:
    """Decode and validate a configuration from YAML text."""
    return load_yaml(text).and_then(configuration_from_mapping)


def configuration_to_mapping(configuration: Configuration) -> dict[str, Any]:
    """Return a configuration as a plain mapping with the keys of the YAML format."""
    mapping: dict[str, Any] = _converter().unstructure(configuration)
    return mapping


def encode_configuration(configuration: Configuration) -> bytes:
    """Encode a configuration as canonical JSON, the format of the object store."""
    mapping = configuration_to_mapping(configuration)
    return json.dumps(mapping, sort_keys=True, separators=(",", ":")).encode()


def decode_configuration(content: bytes) -> Result[Configuration, InvalidDocument]:
    """Decode a configuration from JSON content of the object store."""
    try:
        mapping = read_json(content)
    except ValueError as error:
        return Err(InvalidDocument((f"not valid JSON: {error}",)))
    return Ok(mapping).and_then(configuration_from_mapping)


def content_digest(content: bytes) -> str:
    """Return the SHA-256 of content in hexadecimal; it is the name of the object."""
    return hashlib.sha256(content).hexdigest()
