"""A route of the admin API."""

import collections.abc
import re
import typing

Action = collections.abc.Callable[..., collections.abc.Awaitable[typing.Any]]


class AdminRoute(typing.NamedTuple):
    """A method and path pattern of the admin API, with its handler.

    Attributes:
        method: HTTP method.
        pattern: Matches the whole path; named groups become keyword
            arguments.
        role: `public`, `viewer` or `operator`.
        action: Coroutine function (query, body, **groups) that returns a
            JSON-ready value, or `PlainText`.
    """

    method: str
    pattern: re.Pattern[str]
    role: str
    action: Action
