"""Names and formats of the HTTP headers towards callers and upstreams."""

from __future__ import annotations

from collections.abc import Callable

from plankspindle_core import header_names
from plankspindle_core.classes import frozen
from plankspindle_core.http.headers import HeaderList
from plankspindle_core.http.headers import find_header
from plankspindle_daemon.upstreams.upstream_statement import NO_STATEMENT
from plankspindle_daemon.upstreams.upstream_statement import UpstreamStatement

_UNAVAILABLE = 503
_MAX_DIGITS = 9


@frozen(kw_only=True)
class Dialect:
    """Header names and formats; the defaults are those of this product.

    Parameters
    ----------
    timeout : bytes
        Header with the timeout that a caller sets, in milliseconds.
    deadline : bytes
        Header with the deadline that is sent to an upstream.
    deadline_is_time_left : bool
        Whether the deadline is sent as the time left in milliseconds; otherwise it is
        in milliseconds since the Unix epoch.
    not_run : bytes
        Header by which an upstream states that it did not run a request.
    not_run_statuses : frozenset of int
        Statuses with which that header is accepted; any status if empty.
    misdirected_status : int, optional
        Status with which an upstream rejects a request meant for another upstream.
    target_upstream : bytes, optional
        Header that names the upstream for which the request is meant.
    echo : bytes, optional
        Header of a request that its answer must repeat.
    load : bytes, optional
        Header in which answers report the load: running, waiting, slots.
    affinity_cookie : str, optional
        Name of the cookie that carries the affinity key.
    passes_headers_through : bool
        Whether the caller's headers are forwarded to the upstream unchanged, ``Host``
        included.
    fractional_retry_after : bool
        Whether callers accept fractions of a second in ``Retry-After``.
    key_scheme : str
        Authentication scheme under which callers send API keys.
    workspace : bytes
        Header with the caller's workspace that is sent to an upstream.
    read_statement : callable
        Reads an upstream's statement about itself from the status and headers of an
        answer.
    """

    timeout: bytes = header_names.TIMEOUT
    deadline: bytes = header_names.DEADLINE
    deadline_is_time_left: bool = False
    not_run: bytes = header_names.SHED
    not_run_statuses: frozenset[int] = frozenset({_UNAVAILABLE})
    misdirected_status: int | None = None
    target_upstream: bytes | None = None
    echo: bytes | None = None
    load: bytes | None = None
    affinity_cookie: str | None = None
    passes_headers_through: bool = False
    fractional_retry_after: bool = False
    key_scheme: str = "Bearer"
    workspace: bytes = header_names.WORKSPACE
    read_statement: Callable[[int, HeaderList], UpstreamStatement] = (
        lambda _status, _headers: NO_STATEMENT
    )

    def is_misdirected(self, status: int) -> bool:
        """Return whether an upstream rejected a request meant for another one."""
        return status == self.misdirected_status

    def proves_not_run(self, status: int, headers: HeaderList) -> bool:
        """Return whether an upstream states that it did not run the request."""
        if self.is_misdirected(status):
            return True
        if self.not_run_statuses and status not in self.not_run_statuses:
            return False
        value = find_header(headers, self.not_run)
        return value is not None and value != b"0"

    def reported_load(self, headers: HeaderList) -> int | None:
        """Return the number of running and waiting requests; None if not readable."""
        value = None if self.load is None else find_header(headers, self.load)
        if value is None:
            return None
        numbers = value.split(b",")[:2]
        if len(numbers) < 2 or not all(_is_count(each) for each in numbers):
            return None
        return int(numbers[0]) + int(numbers[1])

    def answer_matches(self, request: HeaderList, answer: HeaderList) -> bool:
        """Return whether an answer repeats the echo header of its request, if any."""
        if self.echo is None:
            return True
        expected = find_header(request, self.echo)
        return expected is None or find_header(answer, self.echo) == expected

    def affinity_key(self, headers: HeaderList) -> str | None:
        """Return the affinity key of a request, or None."""
        if self.affinity_cookie is None:
            return None
        for name, value in headers:
            if name != b"cookie":
                continue
            for pair in value.decode("latin-1").split(";"):
                key, _, text = pair.strip().partition("=")
                if key == self.affinity_cookie:
                    return text
        return None


def _is_count(text: bytes) -> bool:
    digits = text.strip()
    return digits.isdigit() and len(digits) <= _MAX_DIGITS
