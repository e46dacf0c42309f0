"""HTTP connection to the own target, in the target's dialect."""

import functools

from galenatack.interfaces import target_dialect
from galenatack.links import http_client
from galenatack.model import call_request
from galenatack.model import target_answer

CONNECT_TIMEOUT_S = 0.5
"""The target is on the same machine; a longer silence means that it is down."""

POSTING_MAX_IDLE_S = 0.25
"""A call that runs at most once is not put on a connection that was idle for
longer: targets have been seen to forget one after 0.3 s, and of a call that is
reset nobody knows whether it ran. A new connection takes about 1 ms."""

REPEATABLE_MAX_IDLE_S = 1.0
"""The same for calls that may be repeated, at the cost of a second send."""

MAX_ANSWER_BYTES = 3_500_000
"""The answer has to fit into a frame between nodes, which holds 4 MiB."""


class TranslatedTarget:
    """Implements `interfaces.target_link.TargetLink`.

    A call is cancelled by closing its connection.

    Args:
        address: host:port of the target.
        dialect: Headers and answers of the target.
        max_connections: Most connections to the target.
    """

    def __init__(
        self,
        *,
        address: str,
        dialect: target_dialect.TargetDialect,
        max_connections: int,
    ):
        self._dialect = dialect
        self._client = http_client.HttpClient(
            address=address,
            max_connections=max_connections,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            max_answer_bytes=MAX_ANSWER_BYTES,
        )

    async def call(
        self, request: call_request.CallRequest
    ) -> target_answer.TargetAnswer:
        """Sends a call with its deadline and returns the whole answer.

        Raises:
            exceptions.TargetConnectError: The call did not start.
            exceptions.TargetShedError: The target refused before the start.
            exceptions.TargetAnswerLostError: It may have run.
        """
        idle_s = (
            POSTING_MAX_IDLE_S if request.posting else (REPEATABLE_MAX_IDLE_S)
        )
        raw = await self._client.request(
            request.method,
            request.path,
            headers=self._dialect.headers(request),
            body=request.body,
            max_idle_s=idle_s,
            is_answer=functools.partial(self._dialect.is_answer, request),
        )
        return self._dialect.answer(raw.status, tuple(raw.headers), raw.body)

    async def cancel(self, call_id: str) -> bool:
        """Returns False: the target has no way to confirm a cancel."""
        del call_id
        return False

    async def close(self) -> None:
        """Closes the idle connections."""
        await self._client.close()
