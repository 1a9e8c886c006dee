"""Reading of accepted configuration versions from the platform."""

from __future__ import annotations

from typing import Protocol

from result import Err
from result import Ok
from result import Result

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_core.configuration.codec import content_digest
from plankspindle_core.configuration.codec import decode_configuration
from plankspindle_core.configuration.configuration import Configuration
from plankspindle_daemon.configuration.head_row import HEAD_KEY
from plankspindle_daemon.configuration.head_row import head_row_from_mapping
from plankspindle_daemon.configuration.head_row import object_name
from plankspindle_daemon.platform.platform_client import PlatformClient
from plankspindle_daemon.platform.table import ABSENT
from plankspindle_daemon.versions.configuration_version import ConfigurationVersion


@frozen
class ConfigurationReadFailed:
    """The newest version could not be read; the current one stays in force.

    Parameters
    ----------
    detail : str
        Description of the failure.
    """

    detail: str


@frozen(kw_only=True)
class AcceptedVersion:
    """An accepted version of the configuration.

    Parameters
    ----------
    version : ConfigurationVersion
        The version.
    plan : str
        Identifier of the plan that created it.
    configuration : Configuration
        Its valid content.
    """

    version: ConfigurationVersion
    plan: str
    configuration: Configuration


class ReaderPort(Protocol):
    """Interface for reading accepted versions of the configuration."""

    async def read_newer(
        self, version: ConfigurationVersion, wait_s: float | None = None
    ) -> Result[AcceptedVersion | None, ConfigurationReadFailed]:
        """Return the newest version if it is higher than a given one.

        Parameters
        ----------
        version : ConfigurationVersion
            Version in force.
        wait_s : float, optional
            Maximum time to wait for a newer version in seconds, on platforms that
            announce changes; the reader's default if not given.
        """


@define(kw_only=True)
class ConfigurationReader:
    """Reads the head row, and the content if the version is new.

    Parameters
    ----------
    platform : PlatformClient
        Table service and object store.
    """

    platform: PlatformClient

    async def read_newer(
        self, version: ConfigurationVersion, wait_s: float | None = None
    ) -> Result[AcceptedVersion | None, ConfigurationReadFailed]:
        """Return the newest version if it is higher than a given one.

        Parameters
        ----------
        version : ConfigurationVersion
            Version in force.
        wait_s : float, optional
            Ignored: the product's own platform does not announce changes.

        Returns
        -------
        Result
            The newer version, None if there is none, or why it could not be read.
        """
        del wait_s
        row = await self.platform.read_row(HEAD_KEY)
        if row.is_err():
            return Err(ConfigurationReadFailed(row.unwrap_err().detail))
        if row.unwrap().version == ABSENT:
            return Ok(None)
        head = head_row_from_mapping(row.unwrap().value)
        if head.is_err():
            return Err(ConfigurationReadFailed(head.unwrap_err().detail))
        number = head.unwrap().version
        accepted = ConfigurationVersion(
            revision=number, era=row.unwrap().era, number=number
        )
        if accepted <= version:
            return Ok(None)
        content = await self.read_content(head.unwrap().digest)
        return content.map(
            lambda found: AcceptedVersion(
                version=accepted, plan=head.unwrap().plan, configuration=found
            )
        )

    async def read_content(
        self, digest: str
    ) -> Result[Configuration, ConfigurationReadFailed]:
        """Return the content with a digest, after verifying the digest."""
        content = await self.platform.get_object(object_name(digest))
        if content.is_err():
            return Err(ConfigurationReadFailed(content.unwrap_err().detail))
        found = content.unwrap()
        if found is None or content_digest(found) != digest:
            return Err(ConfigurationReadFailed(f"no object with digest {digest}"))
        return decode_configuration(found).map_err(
            lambda error: ConfigurationReadFailed(str(error))
        )
