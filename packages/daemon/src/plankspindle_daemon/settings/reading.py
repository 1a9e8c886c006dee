"""Reading and checking of settings files."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Result

from plankspindle_core.errors import InvalidDocument
from plankspindle_core.settings.structure import make_converter
from plankspindle_core.settings.structure import structure
from plankspindle_core.settings.yaml_document import load_yaml
from plankspindle_daemon.settings.daemon_settings import DaemonSettings

if TYPE_CHECKING:
    from pathlib import Path

_CONVERTER = make_converter()


def read_settings(path: Path) -> Result[DaemonSettings, InvalidDocument]:
    """Read and check a settings file.

    Parameters
    ----------
    path : Path
        YAML file.

    Returns
    -------
    Result
        The settings, or all problems found.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err(InvalidDocument((f"{path}: {error}",)))
    return parse_settings(text)


def parse_settings(text: str) -> Result[DaemonSettings, InvalidDocument]:
    """Parse and check settings given as YAML text."""
    loaded = load_yaml(text)
    if loaded.is_err():
        return Err(loaded.unwrap_err())
    settings = structure(_CONVERTER, loaded.unwrap(), DaemonSettings)
    if settings.is_err():
        return settings
    problems = settings.unwrap().problems()
    return Err(InvalidDocument(tuple(problems))) if problems else settings
