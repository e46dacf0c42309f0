"""HTTP link to the node's target, in the target's dialect."""

import collections.abc
import functools
import logging

from galenatack import exceptions
from galenatack.interfaces import target_dialect
from galenatack.links import http_client
from galenatack.model import call_request
from galenatack.model import target_answer
from galenatack.model import target_condition

_LOGGER = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.5
"""The target is on the same machine; if connecting takes longer, it is down."""

POSTING_MAX_IDLE_S = 0.25
"""Maximum idle time of a connection that is reused for an at-most-once call.

Targets have been seen to drop idle connections after 0.3 s, and it is unknown
whether a call ran if its connection is reset. A new connection takes about
1 ms.
"""

REPEATABLE_MAX_IDLE_S = 1.0
"""The same for repeatable calls, for which a reset costs only a retry."""

MAX_ANSWER_BYTES = 3_500_000
"""An answer must fit into a 4 MiB frame between nodes."""

MAX_PROBE_ANSWER_BYTES = 65_536

OnCondition = collections.abc.Callable[
    [str, target_condition.TargetCondition], None
]
"""Receives the id of a target and what it says of itself."""

OnColdMs = collections.abc.Callable[[str, int], None]
"""Receives the id of a target and for how long it says that it stays cold."""


class TranslatedTarget:
    """Implements `interfaces.target_link.TargetLink`.

    A call is cancelled by closing its connection. Probes have a connection of
    their own: a faulty target may answer a request twice, and the answer to a
    probe could otherwise be taken for that of a call, or the reverse.

    Args:
        address: host:port of the target.
        dialect: Translates headers and answers of the target.
        max_connections: Maximum number of connections to the target.
        on_condition: Called with each answer of the target, refusals included.
        on_cold_ms: Called with each answer that says how long the target stays
            cold.

    Attributes:
        odd_answers: Number of answers whose status line is no answer.
    """

    def __init__(
        self,
        *,
        address: str,
        dialect: target_dialect.TargetDialect,
        max_connections: int,
        on_condition: OnCondition,
        on_cold_ms: OnColdMs | None = None,
    ):
        self._dialect = dialect
        self._on_condition = on_condition
        self._on_cold_ms = on_cold_ms
        self.odd_answers = 0
        self._odd_target_id: str | None = None
        self._client = http_client.HttpClient(
            address=address,
            max_connections=max_connections,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            max_answer_bytes=MAX_ANSWER_BYTES,
            keep_idle_s=REPEATABLE_MAX_IDLE_S,
        )
        self._probes = http_client.HttpClient(
            address=address,
            max_connections=1,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            max_answer_bytes=MAX_PROBE_ANSWER_BYTES,
        )

    async def call(
        self, request: call_request.CallRequest
    ) -> target_answer.TargetAnswer:
        """Sends a call with its deadline and returns the complete answer.

        Raises:
            exceptions.TargetConnectError: The call did not start.
            exceptions.TargetShedError: The target refused the call before
                it started.
            exceptions.TargetAnswerLostError: The call may have run.
        """
        idle_s = (
            POSTING_MAX_IDLE_S if request.posting else (REPEATABLE_MAX_IDLE_S)
        )
        try:
            raw = await self._client.request(
                request.method,
                request.path,
                headers=self._dialect.headers(request),
                body=request.body,
                max_idle_s=idle_s,
                is_answer=functools.partial(self._dialect.is_answer, request),
            )
        except exceptions.TargetStatusError as error:
            self._record_odd(request.target_id, error)
            raise
        headers = tuple(raw.headers)
        condition = self._dialect.condition(raw.status, headers)
        if condition is not None:
            self._on_condition(request.target_id, condition)
        cold_ms = self._dialect.cold_ms(request.target_id, raw.status, headers)
        if cold_ms is not None and self._on_cold_ms is not None:
            self._on_cold_ms(request.target_id, cold_ms)
        return self._dialect.answer(request, raw.status, headers, raw.body)

    async def ask_cold_ms(self, path: str, target_id: str) -> int | None:
        """Returns how long the target stays cold; None if it does not say.

        Args:
            path: Path under which the target says it.
            target_id: The target; the answer of another one counts for
                nothing.
        """
        try:
            raw = await self._probes.request(
                "GET",
                path,
                max_idle_s=REPEATABLE_MAX_IDLE_S,
                is_answer=self._dialect.is_probe_answer,
            )
        except exceptions.CallError as error:
            _LOGGER.debug("event=probe-unanswered error=%s", error)
            return None
        return self._dialect.cold_ms(target_id, raw.status, tuple(raw.headers))

    def _record_odd(
        self, target_id: str, error: exceptions.TargetStatusError
    ) -> None:
        """Counts an odd answer; the first one of a target is logged."""
        self.odd_answers += 1
        if target_id != self._odd_target_id:
            self._odd_target_id = target_id
            _LOGGER.warning(
                "event=target-answer-odd target=%s detail=%r",
                target_id,
                str(error),
            )

    async def cancel(self, call_id: str) -> bool:
        """Returns False: the target cannot confirm a cancellation."""
        del call_id
        return False

    async def is_reachable(self) -> bool:
        """Returns whether the target accepts a new connection."""
        try:
            await self._client.connect()
        except exceptions.TargetConnectError as error:
            _LOGGER.debug("event=target-unreachable error=%s", error)
            return False
        return True

    async def close(self) -> None:
        """Closes the idle connections."""
        await self._client.close()
        await self._probes.close()
