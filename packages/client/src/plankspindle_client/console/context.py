"""Options and output shared by all commands."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING
from typing import Any
from typing import NoReturn

import click

from plankspindle_client.operator_api import OperatorApi
from plankspindle_core.endpoint import Endpoint

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from result import Result

    from plankspindle_client.operator_api import ApiError

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4
EXIT_UNKNOWN = 5

EXIT_BY_STATUS = {
    0: EXIT_UNAVAILABLE,
    409: EXIT_CONFLICT,
    503: EXIT_UNAVAILABLE,
    504: EXIT_UNKNOWN,
}


class EndpointType(click.ParamType[Any]):
    """An ``IP:PORT`` argument."""

    name = "IP:PORT"

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> Endpoint:
        """Parse the text."""
        if isinstance(value, Endpoint):
            return value
        try:
            return Endpoint.parse(value)
        except ValueError as error:
            self.fail(str(error), param, ctx)


def get_api(context: click.Context) -> OperatorApi:
    """Return a client of the daemon given by ``--daemon``."""
    endpoint: Endpoint | None = context.obj["endpoint"]
    if endpoint is None:
        click.echo("name a daemon with --daemon IP:PORT", err=True)
        sys.exit(EXIT_USAGE)
    return OperatorApi(endpoint=endpoint, token=context.obj["token"])


def unwrap_or_exit(result: Result[Any, ApiError]) -> Any:
    """Return the value, or print the error and exit with its status."""
    if result.is_ok():
        return result.unwrap()
    exit_with(result.unwrap_err())
    return None


def exit_with(error: ApiError) -> NoReturn:
    """Print an error and exit with the status documented for it."""
    click.echo(error.message, err=True)
    for problem in error.problems:
        click.echo(f"  {problem}", err=True)
    sys.exit(EXIT_BY_STATUS.get(error.status, EXIT_REFUSED))


def print_json(content: Any) -> None:
    """Print a JSON document."""
    click.echo(json.dumps(content, indent=2, sort_keys=True))


def print_result(context: click.Context, content: Any, lines: Iterable[str]) -> None:
    """Print content as JSON if ``--output`` is ``json``, else as lines.

    Parameters
    ----------
    context : click.Context
        Has the value of ``--output``.
    content : object
        Content as plain JSON values.
    lines : iterable of str
        Content as lines for a terminal; consumed only if printed.
    """
    if context.obj["output"] == "json":
        print_json(content)
        return
    for line in lines:
        click.echo(line)


def print_plan(context: click.Context, plan: Any) -> None:
    """Print a plan in the format given by ``--output``."""
    print_result(context, plan, _plan_lines(plan))


def _plan_lines(plan: Any) -> Iterator[str]:
    yield f"plan {plan['id']} on version {plan['base_version']}: {plan['state']}"
    yield from (f"  {effect}" for effect in plan["effects"])
    if plan["state"] == "open":
        yield f"nothing has changed yet; run: plankspindle confirm {plan['id']}"
