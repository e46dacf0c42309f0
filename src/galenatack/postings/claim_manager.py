"""Acquires, resolves and releases the claims of a gate's plain keys."""

import anyio

from galenatack import exceptions
from galenatack.interfaces import clock
from galenatack.interfaces import peer_network
from galenatack.interfaces import table
from galenatack.messages import ask_posting
from galenatack.messages import posting_status
from galenatack.model import call_result
from galenatack.postings import abandoned_attempts
from galenatack.postings import claim
from galenatack.postings import claim_batcher
from galenatack.postings import claim_releaser
from galenatack.postings import posting_record
from galenatack.postings import posting_registry
from galenatack.postings import posting_results
from galenatack.postings import posting_state

State = posting_state.PostingState

# Timeout of the claim and of the request to its owner; the deadline if shorter.
STEP_TIMEOUT_S = 1.0
REUSED_KEY_DETAIL = (
    "the key belongs to a request with another method, path or body"
)


class ClaimManager:
    """Acquires, resolves and releases claims; requires `run` to be running."""

    def __init__(
        self,
        *,
        node_id: str,
        incarnation: int,
        table: table.Table,
        peers: peer_network.PeerNetwork,
        clock: clock.Clock,
        registry: posting_registry.PostingRegistry,
    ):
        self._node_id = node_id
        self._incarnation = incarnation
        self._peers = peers
        self._clock = clock
        self._registry = registry
        self._abandoned = abandoned_attempts.AbandonedAttempts()
        self._batcher = claim_batcher.ClaimBatcher(table=table)
        self._releaser = claim_releaser.ClaimReleaser(table=table, clock=clock)
        peers.on(ask_posting.AskPosting, self._on_ask_posting)

    async def run(self) -> None:
        """Writes and releases claims until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._batcher.run)
            tasks.start_soon(self._releaser.run)

    def abandon(self, record: posting_record.PostingRecord) -> None:
        """Releases the claim of an attempt that did not run and never will."""
        if record.has_row:
            self._abandoned.add(record.attempt)
            self._releaser.release(
                claim.row_key(record.service, record.key), record.attempt
            )

    async def acquire(
        self,
        record: posting_record.PostingRecord,
        *,
        deadline_ms: int,
    ) -> call_result.CallResult | None:
        """Claims the key of an attempt.

        Returns:
            None if the attempt may be dispatched. Otherwise its result, and it
            must not be dispatched.

        Raises:
            exceptions.PostingKeyReusedError: The existing claim is for another
                request.
        """
        row_key = claim.row_key(record.service, record.key)
        timeout_s = min(STEP_TIMEOUT_S, deadline_ms / 1000)
        record.has_row = True
        try:
            with anyio.fail_after(timeout_s):
                is_inserted, existing = await self._batcher.insert(
                    row_key, self._new_claim(record)
                )
        except (exceptions.PlatformError, TimeoutError) as error:
            record.close()
            record.has_row = not isinstance(
                error, exceptions.PlatformUnavailableError
            )
            return _claim_failed_result(error)
        if not is_inserted:
            record.close()
            record.has_row = False
            return await self._ask_owner(record, existing, timeout_s=timeout_s)
        record.is_claimed = True
        if record.is_closed:
            return _claim_released_result()
        return None

    def _new_claim(self, record: posting_record.PostingRecord) -> claim.Claim:
        return claim.Claim(
            node_id=self._node_id,
            incarnation=self._incarnation,
            attempt=record.attempt,
            fingerprint=record.fingerprint,
            made_ms=self._clock.wall_ms(),
        )

    async def _ask_owner(
        self,
        record: posting_record.PostingRecord,
        existing: claim.Claim,
        *,
        timeout_s: float,
    ) -> call_result.CallResult:
        if not existing.attempt:
            return posting_results.unknown(
                "claim-damaged", "the claim is unreadable"
            )
        if existing.fingerprint != record.fingerprint:
            raise exceptions.PostingKeyReusedError(REUSED_KEY_DETAIL)
        question = ask_posting.AskPosting(
            record.service, record.key, existing.attempt
        )
        try:
            status = await self._request_status(
                existing.node_id, question, timeout_s=timeout_s
            )
        except exceptions.PeerError as error:
            return posting_results.unknown(
                error.code, f"{existing.node_id} holds the claim: {error}"
            )
        if status.state == State.ANSWERED and status.result is not None:
            return status.result
        if status.state == State.NOT_DISPATCHED:
            return _claim_released_result()
        retry_after_ms = 0
        if status.state == State.DISPATCHED:
            retry_after_ms = posting_results.DEFAULT_RETRY_AFTER_MS
        return posting_results.unknown(
            "posting-may-have-run",
            f"{existing.node_id} may have run it",
            retry_after_ms=retry_after_ms,
        )

    async def _request_status(
        self,
        node_id: str,
        question: ask_posting.AskPosting,
        *,
        timeout_s: float,
    ) -> posting_status.PostingStatus:
        if node_id == self._node_id:
            return self._own_status(question)
        return await self._peers.request(node_id, question, timeout_s=timeout_s)

    async def _on_ask_posting(
        self, sender: str, question: ask_posting.AskPosting
    ) -> posting_status.PostingStatus:
        del sender
        return self._own_status(question)

    def _own_status(
        self, question: ask_posting.AskPosting
    ) -> posting_status.PostingStatus:
        """Returns the state of an attempt of this process.

        The state `not-dispatched` is final: the attempt is closed before it
        is reported.
        """
        record = self._registry.get(question.service, question.idempotency_key)
        if record is not None and record.attempt == question.attempt:
            if not record.close():
                return posting_status.PostingStatus(record.state, record.result)
        elif question.attempt not in self._abandoned:
            return posting_status.PostingStatus(State.UNKNOWN.value, None)
        self._releaser.release(
            claim.row_key(question.service, question.idempotency_key),
            question.attempt,
        )
        return posting_status.PostingStatus(State.NOT_DISPATCHED.value, None)


def _claim_failed_result(error: Exception) -> call_result.CallResult:
    retry_after_ms = getattr(
        error, "retry_after_ms", posting_results.DEFAULT_RETRY_AFTER_MS
    )
    return posting_results.not_run(
        "claim-not-made",
        "the table service did not confirm the claim",
        retry_after_ms=retry_after_ms,
    )


def _claim_released_result() -> call_result.CallResult:
    return posting_results.not_run(
        "claim-released", "an attempt that did not run gave up its claim"
    )
