"""Configuration model, settings, logging and HTTP shared by all packages."""

from __future__ import annotations
