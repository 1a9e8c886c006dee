"""Error values shared by all packages."""

from __future__ import annotations

from plankspindle_core.classes import frozen


@frozen
class InvalidDocument:
    """A settings or configuration document that cannot be used.

    Parameters
    ----------
    problems : tuple of str
        One line per problem, each beginning with the path of the key.
    """

    problems: tuple[str, ...]

    def __str__(self) -> str:
        return "; ".join(self.problems)


@frozen
class Unreadable:
    """A value from another process that does not have the expected form.

    Parameters
    ----------
    detail : str
        Description of the problem.
    """

    detail: str
