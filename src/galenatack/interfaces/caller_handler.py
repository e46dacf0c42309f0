"""Interface of the handler of callers' calls."""

import typing

from galenatack.model import call_result


class CallerHandler(typing.Protocol):
    """Routes a caller's call and returns its final answer."""

    async def handle(
        self,
        *,
        method: str,
        path: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> call_result.CallResult:
        """Handles one call; never raises for a failure of the call.

        Args:
            method: HTTP method in upper case.
            path: Path and query, `/<service>/<rest>`.
            headers: Headers, names in lower case.
            body: Whole body.
        """
