"""An operation of a service, with its execution contract."""

from __future__ import annotations

from attrs import field
from attrs import validators

from plankspindle_core.classes import frozen

DEFAULT_TIMEOUT_MS = 5_000
DEFAULT_EXPECTED_MS = 50


@frozen(kw_only=True)
class Operation:
    """A method and path prefix with its execution contract.

    Parameters
    ----------
    method : str
        HTTP method in upper case.
    path_prefix : str
        Prefix of the path below the service.
    idempotent : bool
        Whether a request may be run more than once.
    timeout_ms : int
        Longest time from admission to the last byte, in milliseconds.
    expected_ms : int
        Typical duration in milliseconds; used to avoid upstreams that will leave before
        the request completes.
    """

    method: str
    path_prefix: str = "/"
    idempotent: bool = False
    timeout_ms: int = field(default=DEFAULT_TIMEOUT_MS, validator=validators.gt(0))
    expected_ms: int = field(default=DEFAULT_EXPECTED_MS, validator=validators.ge(0))

    def matches(self, method: str, path: str) -> bool:
        """Return whether a request belongs to this operation.

        Parameters
        ----------
        method : str
            Method of the request.
        path : str
            Path of the request below the service.

        Returns
        -------
        bool
            True if method and prefix both match.
        """
        return method == self.method and path.startswith(self.path_prefix)


SAFE_METHODS = ("GET", "HEAD")
"""Methods that are idempotent unless an operation declares otherwise."""


def default_operation(method: str) -> Operation:
    """Return the contract of a request that no operation declares.

    Parameters
    ----------
    method : str
        Method of the request.

    Returns
    -------
    Operation
        Idempotent for safe methods only.
    """
    return Operation(method=method, idempotent=method in SAFE_METHODS)
