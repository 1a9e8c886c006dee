"""Identification of callers by their API keys."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

from attrs import field
from result import Err
from result import Ok
from result import Result

from plankspindle_core.classes import frozen
from plankspindle_daemon.admission.api_key import NotAuthenticated

if TYPE_CHECKING:
    from plankspindle_core.configuration.configuration import Configuration
    from plankspindle_core.configuration.workspace import Workspace

KEY_NOT_KNOWN = NotAuthenticated("this API key is not known")


@frozen(kw_only=True)
class Identity:
    """The sender of a request.

    Parameters
    ----------
    caller : str, optional
        Name of the caller or workspace; None without an API key.
    rank : int
        Rank of its priority class.
    workspace : str, optional
        Name of the workspace that the key belongs to, if any.
    home_regions : frozenset of str
        The only regions that may serve the workspace; any region if empty.
    key_digest : str, optional
        Digest of the key, to look it up again in a later version.
    """

    caller: str | None
    rank: int
    workspace: str | None = None
    home_regions: frozenset[str] = frozenset()
    key_digest: str | None = field(default=None, repr=False, eq=False)


class CallerDirectory:
    """Callers and workspaces of one version of the configuration, by key digest.

    Parameters
    ----------
    configuration : Configuration
        The configuration.
    """

    def __init__(self, *, configuration: Configuration) -> None:
        self._configuration = configuration
        self._rank_by_class = {
            name: rank for rank, name in enumerate(configuration.priority_classes)
        }
        self._caller_by_digest = {
            caller.key_sha256: name
            for name, caller in configuration.callers_by_name.items()
        }
        self._workspace_by_digest = {
            digest: name
            for name, workspace in configuration.workspaces_by_name.items()
            for digest in workspace.key_sha256s
        }

    @property
    def has_workspaces(self) -> bool:
        """Whether routes that are not public need the key of a workspace."""
        return bool(self._configuration.workspaces_by_name)

    def identify(
        self, *, service: str, key_digest: str | None
    ) -> Result[Identity, NotAuthenticated]:
        """Identify the sender of a request for a service.

        Parameters
        ----------
        service : str
            Requested service.
        key_digest : str, optional
            Digest of its API key.

        Returns
        -------
        Result
            The sender, or why it is not authenticated.
        """
        default = self._configuration.services_by_name[service].default_class
        if key_digest is None:
            if default is None:
                return Err(NotAuthenticated("send an API key"))
            return Ok(self.anonymous_identity(default))
        name = self._caller_by_digest.get(key_digest)
        if name is None:
            lowest = default or self._configuration.priority_classes[-1]
            return self.identify_workspace(key_digest, route_class=lowest)
        caller = self._configuration.callers_by_name[name]
        if not hmac.compare_digest(caller.key_sha256, key_digest):
            return Err(KEY_NOT_KNOWN)
        rank = self._rank_by_class[caller.priority_class]
        return Ok(Identity(caller=name, rank=rank, key_digest=key_digest))

    def identify_workspace(
        self, key_digest: str, *, route_class: str
    ) -> Result[Identity, NotAuthenticated]:
        """Identify the workspace that a key belongs to.

        Parameters
        ----------
        key_digest : str
            Digest of the API key.
        route_class : str
            Priority class if the workspace has none of its own.
        """
        name = self._workspace_by_digest.get(key_digest)
        if name is None:
            return Err(KEY_NOT_KNOWN)
        workspace = self._configuration.workspaces_by_name[name]
        if not _has_key(workspace, key_digest):
            return Err(KEY_NOT_KNOWN)
        return Ok(
            Identity(
                caller=name,
                rank=self._rank_by_class[workspace.priority_class or route_class],
                workspace=name,
                home_regions=frozenset(workspace.home_regions),
                key_digest=key_digest,
            )
        )

    def identify_by_name(self, name: str, *, service: str) -> Identity | None:
        """Return the identity of a caller that another entry VM has authenticated.

        Parameters
        ----------
        name : str
            Name of a caller or workspace.
        service : str
            Requested service.
        """
        caller = self._configuration.callers_by_name.get(name)
        if caller is not None:
            digest: str | None = caller.key_sha256
        else:
            workspace = self._configuration.workspaces_by_name.get(name)
            digests = workspace.key_sha256s if workspace is not None else []
            digest = digests[0] if digests else None
        if digest is None:
            return None
        return self.identify(service=service, key_digest=digest).unwrap_or(None)

    def is_key_valid(self, identity: Identity) -> bool:
        """Return whether the key of a request still belongs to its sender."""
        digest = identity.key_digest
        if digest is None:
            return True
        if identity.workspace is not None:
            return self._workspace_by_digest.get(digest) == identity.workspace
        return self._caller_by_digest.get(digest) == identity.caller

    def anonymous_identity(self, priority_class: str) -> Identity:
        """Return the identity of a caller without an API key in a declared class."""
        return Identity(caller=None, rank=self._rank_by_class[priority_class])


def _has_key(workspace: Workspace, key_digest: str) -> bool:
    return any(hmac.compare_digest(each, key_digest) for each in workspace.key_sha256s)
